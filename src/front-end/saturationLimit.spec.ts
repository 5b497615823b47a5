import t from 'tap'
import { MAX_REFUSED_IN_A_ROW, SaturationLimit } from './saturationLimit.js'

t.test('a saturated process refuses most requests, never all', async t => {
  const limit = new SaturationLimit()
  const served = (isSaturated: boolean, count: number): number => Array.from({ length: count }, () => limit.refuses(isSaturated)).filter(isRefused => !isRefused).length
  t.equal(served(false, 100), 100, 'all while it is not saturated')
  t.equal(served(true, MAX_REFUSED_IN_A_ROW), 0)
  t.equal(served(true, 1), 1)
  t.equal(served(true, 80 * (MAX_REFUSED_IN_A_ROW + 1)), 80)
  t.equal(served(false, 1), 1)
  t.equal(served(true, MAX_REFUSED_IN_A_ROW), 0, 'the share is counted anew after a calm moment')
})

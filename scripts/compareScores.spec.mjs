import t from 'tap'
import { compareScores } from './compareScores.mjs'

const day = (name, figure, changes = {}) => ({ name, figure, rules: {}, fault: null, ...changes })
const entry = (...days) => ({ site: 'a', days })

t.test('a day that is lower, given up, broken or left out is a finding', async t => {
  const before = entry(day('quiet-1', 0.9), day('trouble-1', 0.5), day('trouble-2', 0.5), day('scale-1', 0.4), day('scale-2', 0.4), day('fresh-1', 0.2), day('trouble-3', 0.3, { fault: 'too slow' }))
  const after = entry(day('quiet-1', 0.871), day('trouble-1', 0.47), day('trouble-2', 0.6, { rules: { CONFIG: 1 } }), day('scale-1', 0.1, { fault: 'too slow' }), day('fresh-2', 0.1), day('trouble-3', 0.2))
  t.matchSnapshot(compareScores(before, after))
})

t.test('entries of two sites are not compared', async t => {
  t.throws(() => compareScores(entry(), { site: 'b', days: [] }), /two sites/)
})

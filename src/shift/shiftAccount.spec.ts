import t from 'tap'
import { createShiftTables } from './shiftTables.js'
import { findAllowedPlacements, findShiftAccount } from './shiftAccount.js'

const CAP = 0.15
const WINDOW_MS = 2_000
const REQUESTS = 200

t.test('while half of the requests are refused, the cap holds for those that run', async t => {
  const tables = createShiftTables()
  const awayAllowed: number[] = []
  for (const window of [0, 1, 2]) {
    const account = findShiftAccount(tables, 'plan', WINDOW_MS, window * WINDOW_MS)
    for (let count = 1; count <= REQUESTS; count += 1) {
      account.total += 1
      // In each window the servers take half of the requests, and another region takes as many of them as the cap allows.
      if (count % 2 === 0) continue
      if (window > 0 && findAllowedPlacements(account, { shiftCap: CAP }).isAwayAllowed) account.away += 1
      else account.home += 1
    }
    awayAllowed.push(account.away)
  }
  t.matchSnapshot(awayAllowed, 'of 100 that run in each window')
})

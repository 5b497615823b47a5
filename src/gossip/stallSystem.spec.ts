import t from 'tap'
import type { Millis } from '../core/tick.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { startRegionalControl } from '../stand-ins/regionalControl.js'
import type { Stall } from '../membership/types.js'
import { StallSystem } from './stallSystem.js'

const system = new StallSystem()

// Returns when messages that are read at each of the times may have arrived at the earliest.
const earliestArrivals = (times: readonly Millis[]): Millis[] => {
  const stall: Stall = { ranAt: 0, since: 0, backlogUntil: 0 }
  const arrivals: Millis[] = []
  for (const now of times) {
    system.run({ now, tables: { gossip: { stall } } } as never)
    arrivals.push(now < stall.backlogUntil ? stall.since : now)
  }
  return arrivals
}

t.test('messages that are read after a stall may have arrived since its start', async t => {
  t.matchSnapshot({
    'runs all the time': earliestArrivals([100, 600, 1_100]),
    'one stall': earliestArrivals([100, 3_100, 3_200, 3_399, 3_400, 3_900]),
    'a second stall before the backlog is read': earliestArrivals([100, 3_100, 3_200, 5_200, 5_499, 5_500]),
    'a second stall after the backlog is read': earliestArrivals([100, 3_100, 3_500, 5_500, 5_799, 5_800])
  })
})

t.test('a process that is idle does not count as stalled', async t => {
  const fleet = new VirtualFleet(1)
  const control = startRegionalControl(fleet)
  fleet.runFor(20_000)
  for (const host of control.hosts) t.equal(control.tables(host).gossip.stall.since, 0, host)
})

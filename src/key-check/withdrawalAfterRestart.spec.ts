import t from 'tap'
import { toId } from '../core/id.js'
import type { OperatorId, RequestId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import { ConfigurationBuilder, defaultTerms, keyDigestOf } from '../stand-ins/configurationBuilder.js'
import { VirtualControl } from '../stand-ins/virtualControl.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { createLocations, delayByRegion } from '../stand-ins/virtualTopology.js'

/** Longest time until every entry host refuses a withdrawn key. */
const WITHDRAWN_WITHIN_MS: Millis = 2_000
const locations = createLocations(['n', 'm', 's'], 1, 2)

// Restarts a control host and three entry hosts, then withdraws a key at the control host that has restarted.
const withdraw = (seed: number, waitMs: Millis): Millis => {
  const fleet = new VirtualFleet(seed)
  fleet.network.delay = delayByRegion(27)
  const control = new VirtualControl(fleet, ['n1-c', 'm1-c', 's1-c'])
  const snapshot = new ConfigurationBuilder().profile(defaultTerms).service('s').workspace('w', 100, 100).hosts(locations).snapshot()
  const seeds = control.hosts.map(host => ({ host, link: { address: host, port: 1 } }))
  const entry = new VirtualEntry(fleet, [], snapshot, undefined, undefined, seeds)
  for (const location of locations) entry.startHost(location)
  fleet.runFor(15_000)
  const restarted = control.hosts[fleet.random.below(control.hosts.length)]
  if (restarted === undefined) throw new Error('no control host')
  control.kill(restarted)
  const stopped = locations.filter((_, position) => position % 2 === 0)
  for (const { host } of stopped) {
    const node = fleet.nodes.get(toId(host))
    if (node !== undefined) node.isDown = true
  }
  fleet.runFor(500)
  control.start(restarted)
  for (const location of stopped) entry.startHost(location)
  fleet.runFor(waitMs)
  const digest = keyDigestOf('w')
  control.propose(restarted, { requestId: toId<RequestId>('r'), operator: toId<OperatorId>('o'), roles: ['assign'], command: { kind: 'withdraw-key', digest } })
  const withdrawnAt = fleet.now
  while (locations.some(({ host }) => !entry.tables(host).withdrawals.has(digest)) && fleet.now < withdrawnAt + 10_000) fleet.runFor(10)
  return fleet.now - withdrawnAt
}

t.test('a key that is withdrawn at a control host just after its restart is refused everywhere in time', async t => {
  for (const waitMs of [100, 700, 2_000]) {
    let slowest = 0
    for (let seed = 1; seed <= 20; seed += 1) slowest = Math.max(slowest, withdraw(seed, waitMs))
    t.ok(slowest <= WITHDRAWN_WITHIN_MS, `${waitMs} ms after the restart: refused everywhere after ${slowest} ms`)
  }
})

import t from 'tap'
import { toId } from '../core/id.js'
import type { HostId, OperatorId, RequestId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import { ConfigurationBuilder } from '../stand-ins/configurationBuilder.js'
import { startRegionalControl } from '../stand-ins/regionalControl.js'
import type { VirtualControl } from '../stand-ins/virtualControl.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { createLocations, delayByRegion } from '../stand-ins/virtualTopology.js'

/** Longest time until an acknowledged change is in force on every host that is in touch with the control hosts. */
const IN_FORCE_MS: Millis = 2_500
const locations = createLocations(['n', 'm', 's'], 2, 4)

const build = (seed: number): { readonly fleet: VirtualFleet, readonly control: VirtualControl, readonly entry: VirtualEntry } => {
  const fleet = new VirtualFleet(seed)
  fleet.network.delay = delayByRegion(55)
  const control = startRegionalControl(fleet, { founders: 6, admission: undefined })
  const entry = new VirtualEntry(fleet, locations, { ...new ConfigurationBuilder().snapshot(), index: 0 }, undefined, 'tiered')
  for (const { host } of locations) {
    const tables = entry.tables(host)
    tables.gossip.vouch = null
    tables.gossip.confirmedAt = null
    for (const name of control.hosts) tables.members.put({ member: control.tables(name).gossip.self, changedAt: 0, index: 0 })
  }
  fleet.runFor(15_000)
  return { fleet, control, entry }
}

const slowestHost = (seed: number, frozen: HostId | null, frozenForMs: Millis): Millis => {
  const { fleet, control, entry } = build(seed)
  const node = frozen === null ? undefined : fleet.nodes.get(frozen)
  if (node !== undefined) node.isFrozen = true
  fleet.runFor(frozenForMs)
  const leader = control.leaders().find(host => host !== frozen)
  if (leader === undefined) throw new Error('no leader')
  const call = control.propose(leader, { requestId: toId<RequestId>('r1'), operator: toId<OperatorId>('ann'), roles: ['assign'], command: { kind: 'put-workspace', workspace: toId('w'), expectedVersion: 0, rate: 1, burst: 1, weight: 1 } })
  while (!control.proposalAnswers.has(call)) fleet.runFor(10)
  const acknowledgedAt = fleet.now
  const { index } = control.tables(leader).configuration
  while (locations.some(({ host }) => entry.tables(host).configuration.index < index) && fleet.now < acknowledgedAt + 10 * IN_FORCE_MS) fleet.runFor(10)
  return fleet.now - acknowledgedAt
}

t.test('a change is in force on every entry host in time, also in the zone of a control host that has just frozen', async t => {
  const calm = slowestHost(1, null, 0)
  t.ok(calm <= IN_FORCE_MS, `${calm} ms without a failure`)
  for (const seed of [1, 2, 3]) {
    for (const frozenForMs of [0, 500, 3_000]) {
      const { control } = build(seed)
      const follower = control.hosts.find(host => !control.leaders().includes(host)) ?? null
      const slowest = slowestHost(seed, follower, frozenForMs)
      t.ok(slowest <= IN_FORCE_MS, `seed ${seed}: ${slowest} ms when a control host has been frozen for ${frozenForMs} ms`)
    }
  }
})

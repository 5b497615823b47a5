import t from 'tap'
import { toId } from '../core/id.js'
import type { HostId, OperatorId, RequestId } from '../core/id.js'
import type { Command, CommandEnvelope } from '../configuration/types.js'
import { installSnapshot, takeSnapshot } from '../configuration/configurationTables.js'
import { ConfigurationBuilder, keyDigestOf, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { delayByRegion, createLocations } from '../stand-ins/virtualTopology.js'
import { VirtualControl } from '../stand-ins/virtualControl.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'

const locations = createLocations(['n', 'm', 's'], 2, 4)

const id = (name: string): HostId => toId<HostId>(name)

const envelope = (request: string, command: Command): CommandEnvelope => ({
  requestId: toId<RequestId>(request),
  operator: toId<OperatorId>(command.kind === 'approve-profile' ? 'legal' : 'ann'),
  roles: ['draft', 'approve', 'assign'],
  command
})

interface Fleet { readonly fleet: VirtualFleet, readonly control: VirtualControl, readonly entry: VirtualEntry, readonly leader: () => HostId, readonly run: (command: Command) => void }

// Control hosts are in the first zone of each region; host names begin with the zone, which delays and partitions are derived from.
const start = (seed: number, terms = defaultTerms): Fleet => {
  const fleet = new VirtualFleet(seed)
  fleet.network.delay = delayByRegion(27)
  const control = new VirtualControl(fleet, ['n1-c', 'm1-c', 's1-c'])
  const empty = new ConfigurationBuilder().snapshot()
  const entry = new VirtualEntry(fleet, locations, { ...empty, index: 0 })
  for (const location of locations) {
    const tables = entry.tables(location.host)
    tables.gossip.vouch = null
    tables.gossip.confirmedAt = null
    tables.members.put({ member: control.tables(id('n1-c')).gossip.self, changedAt: 0, index: 0 })
  }
  const leader = (): HostId => {
    const found = control.leaders().sort((a, b) => control.tables(b).replica.term - control.tables(a).replica.term)[0]
    if (found === undefined) throw new Error('no leader')
    return found
  }
  let count = 0
  const run = (command: Command): void => {
    count += 1
    control.propose(leader(), envelope(`r${count}`, command))
    fleet.runFor(400)
  }
  fleet.runFor(6_000)
  run({ kind: 'draft-profile', profile: toId('careful'), expectedVersion: 0, terms })
  run({ kind: 'approve-profile', profile: toId('careful'), version: 1 })
  run({ kind: 'put-service', service: toId('lookup'), expectedVersion: 0, profile: toId('careful'), profileVersion: 1, timeoutMs: 2_000, openPaths: [] })
  run({ kind: 'put-workspace', workspace: toId('w'), expectedVersion: 0, rate: 10_000, burst: 10_000, weight: 1 })
  run({ kind: 'give-key', digest: keyDigestOf('w'), workspace: toId('w') })
  const parts = Math.floor(10_000 / locations.length)
  for (const location of locations) run({ kind: 'register-host', entryHost: { host: id(location.host), region: toId(location.region), zone: toId(location.zone), site: toId(location.zone), parts } })
  for (const zone of ['n1', 'n2', 'm1', 'm2', 's1', 's2']) entry.addServer('lookup', `server-${zone}`, zone, 6, 5)
  fleet.runFor(6_000)
  return { fleet, control, entry, leader, run }
}

const indexes = ({ entry }: Fleet): number[] => locations.map(location => entry.tables(location.host).configuration.index)

const sendRequests = (fleet: Fleet, hosts: readonly string[]): Record<string, number> => {
  const before = fleet.entry.outcomes.length
  for (const host of hosts) fleet.entry.send(host, { service: 'lookup', workspace: 'w' })
  fleet.fleet.runFor(2_500)
  const counts: Record<string, number> = {}
  for (const row of fleet.entry.outcomes.slice(before)) {
    const name = row.kind === 'served' ? 'served' : `${row.reason} (${row.ran})`
    counts[name] = (counts[name] ?? 0) + 1
  }
  return counts
}

const everyHost = locations.map(location => location.host)

t.test('an accepted change is in force on every host within two seconds', async t => {
  const fleet = start(1)
  const times: number[] = []
  for (let n = 0; n < 20; n += 1) {
    const from = fleet.fleet.now
    fleet.control.propose(fleet.leader(), envelope(`c${n}`, { kind: 'put-workspace', workspace: toId(`x${n}`), expectedVersion: 0, rate: 1, burst: 1, weight: 1 }))
    fleet.fleet.runFor(5)
    while (indexes(fleet).some(index => index < fleet.control.tables(fleet.leader()).configuration.index) || fleet.control.tables(fleet.leader()).log.lastIndex > fleet.control.tables(fleet.leader()).configuration.index) fleet.fleet.runFor(5)
    times.push(fleet.fleet.now - from)
  }
  t.ok(Math.max(...times) < 2_000, `slowest ${Math.max(...times)} ms`)
})

t.test('a key withdrawn at a control host without a quorum is rejected by all hosts that it can reach', async t => {
  const fleet = start(2)
  t.same(sendRequests(fleet, everyHost), { served: locations.length })
  // Zone n1 keeps its control host but is partitioned from all other zones.
  fleet.fleet.network.isPartitioned = (from, to) => from.startsWith('n1') !== to.startsWith('n1')
  fleet.fleet.runFor(3_000)
  fleet.control.propose(id('n1-c'), envelope('w1', { kind: 'withdraw-key', digest: keyDigestOf('w') }))
  fleet.fleet.runFor(2_000)
  t.matchSnapshot({ inside: sendRequests(fleet, everyHost.slice(0, 4)), outside: sendRequests(fleet, everyHost.slice(4)) }, 'while the zone is partitioned')
  // Long enough for each side to declare the other dead.
  fleet.fleet.runFor(60_000)
  t.equal(fleet.entry.tables('n1-1').members.get(id('m1-1'))?.member.state, 'dead')
  fleet.fleet.network.isPartitioned = () => false
  fleet.fleet.runFor(20_000)
  t.matchSnapshot(sendRequests(fleet, everyHost), 'after the partition has healed')
  t.equal(fleet.control.tables(fleet.leader()).configuration.keys.get(keyDigestOf('w'))?.state, 'withdrawn', 'the withdrawal is in the log')
})

t.test('a restarted host serves no request with a key before its configuration is confirmed', async t => {
  const fleet = start(3)
  const before = takeSnapshot(fleet.entry.tables('n1-1').configuration)
  fleet.run({ kind: 'withdraw-key', digest: keyDigestOf('w') })
  const location = locations[5]
  if (location === undefined) throw new Error('no location')
  const node = fleet.fleet.nodes.get(id(location.host))
  if (node !== undefined) node.isDown = true
  fleet.fleet.network.isPartitioned = (from, to) => from === location.host || to === location.host
  fleet.entry.startHost(location, false)
  const alone = sendRequests(fleet, [location.host])
  // An unconfirmed configuration must not be used: its key has been withdrawn since.
  const tables = fleet.entry.tables(location.host)
  installSnapshot(tables.configuration, { ...before, index: 1 })
  const unvouched = sendRequests(fleet, [location.host])
  tables.configuration.index = 0
  fleet.fleet.network.isPartitioned = () => false
  fleet.fleet.runFor(10_000)
  t.matchSnapshot({ alone, unvouched, caughtUp: sendRequests(fleet, [location.host]) })
})

t.test('a zone that is partitioned off serves or refuses as its profile says', async t => {
  for (const whenCutOff of ['serve', 'refuse'] as const) {
    const fleet = start(4, { ...defaultTerms, whenCutOff, staleAfterMs: 5_000 })
    fleet.fleet.network.isPartitioned = (from, to) => from.startsWith('n2') !== to.startsWith('n2')
    fleet.fleet.runFor(10_000)
    t.matchSnapshot(sendRequests(fleet, everyHost.filter(host => host.startsWith('n2'))), `${whenCutOff}: inside the partitioned zone`)
    t.same(sendRequests(fleet, everyHost.filter(host => host.startsWith('m'))), { served: 8 }, `${whenCutOff}: outside`)
  }
})

t.test('a host that missed hundreds of changes catches up, and no index decreases', async t => {
  const fleet = start(5)
  const location = locations[7]
  const node = fleet.fleet.nodes.get(id(location?.host ?? ''))
  if (node === undefined) throw new Error('no node')
  node.isFrozen = true
  let highestIndex = 0
  for (let n = 0; n < 600; n += 1) {
    fleet.control.propose(fleet.leader(), envelope(`c${n}`, { kind: 'put-workspace', workspace: toId(`x${n}`), expectedVersion: 0, rate: 1, burst: 1, weight: 1 }))
    fleet.fleet.runFor(50)
    const index = entryIndex(fleet, locations[0]?.host ?? '')
    if (index < highestIndex) t.fail(`index decreased from ${highestIndex} to ${index}`)
    highestIndex = index
  }
  node.isFrozen = false
  const before = fleet.fleet.now
  while (entryIndex(fleet, location?.host ?? '') < fleet.control.tables(fleet.leader()).configuration.index && fleet.fleet.now - before < 30_000) fleet.fleet.runFor(50)
  t.ok(fleet.fleet.now - before < 7_000, `caught up after ${fleet.fleet.now - before} ms`)
})

const entryIndex = (fleet: Fleet, host: string): number => fleet.entry.tables(host).configuration.index

t.test('a frozen host is suspected, declared dead and alive again without a restart; a dead one stays dead', async t => {
  const fleet = start(6)
  const stateOf = (host: string, at: string): string => fleet.entry.tables(at).members.get(id(host))?.member.state ?? 'unknown'
  const frozen = fleet.fleet.nodes.get(id('m2-1'))
  const dead = fleet.fleet.nodes.get(id('m2-2'))
  if (frozen === undefined || dead === undefined) throw new Error('no node')
  frozen.isFrozen = true
  dead.isDown = true
  const seen: Record<string, string[]> = {}
  for (const stepMs of [3_000, 12_000, 15_000]) {
    fleet.fleet.runFor(stepMs)
    seen[`after ${stepMs} ms more`] = [stateOf('m2-1', 'n1-1'), stateOf('m2-2', 'n1-1')]
  }
  frozen.isFrozen = false
  fleet.fleet.runFor(12_000)
  seen.thawed = [stateOf('m2-1', 'n1-1'), stateOf('m2-2', 'n1-1')]
  t.matchSnapshot({ dead: seen['after 15000 ms more'], thawed: seen.thawed })
  t.equal(stateOf('m2-3', 'n1-1'), 'alive')
})

t.test('a leaving server gets no new requests after two seconds, and an unresponsive one none after its expiry', async t => {
  const fleet = start(7)
  const leaving = fleet.entry.servers.get('server-n1')
  // Taken from another region: a region that lost all its servers must not move all its traffic at once.
  const unresponsive = fleet.entry.servers.get('server-m2')
  if (leaving === undefined || unresponsive === undefined) throw new Error('no server')
  const from = fleet.fleet.now
  fleet.entry.sendAtRate('w', 'lookup', 200, from + 10, from + 8_000, (_now, n) => everyHost[n % everyHost.length] ?? '')
  fleet.fleet.runFor(1_000)
  fleet.entry.startDrain('server-n1')
  unresponsive.isDown = true
  const leftAt = fleet.fleet.now
  fleet.fleet.runFor(10_000)
  t.ok(leaving.lastStartedAt - leftAt < 2_000, `last request started ${leaving.lastStartedAt - leftAt} ms after it began to leave`)
  t.equal(fleet.entry.tables('s1-1').backends.get('lookup/server-m2')?.announcement.state, 'gone', 'hosts in other regions learn that it is gone')
  t.same(fleet.entry.outcomes.filter(row => row.kind !== 'served'), [], 'no request was lost')
})

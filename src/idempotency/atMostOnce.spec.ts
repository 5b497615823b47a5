import t from 'tap'
import fc from 'fast-check'
import { toId } from '../core/id.js'
import type { HostId } from '../core/id.js'
import { defaultPolicies } from '../entry/entryWorld.js'
import { countDuplicateRuns } from '../invariants/runInvariant.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { delayByRegion, createLocations } from '../stand-ins/virtualTopology.js'
import type { VirtualOutcome } from '../stand-ins/virtualEntry.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { NoRecords, RendezvousRecords } from './recordPlacement.js'
import type { RecordPlacement } from './recordPlacement.js'
import { RECORD_RETENTION_MS } from './recordKeeping.js'

const locations = createLocations(['n', 'm', 's'], 2, 4)
const ZONES = ['n1', 'n2', 'm1', 'm2', 's1', 's2']

const build = (seed: number, placement: () => RecordPlacement, warmUp = RECORD_RETENTION_MS + 5_000): { fleet: VirtualFleet, entry: VirtualEntry } => {
  const fleet = new VirtualFleet(seed)
  fleet.network.delay = delayByRegion(27)
  const builder = new ConfigurationBuilder().profile(defaultTerms).service('deposit').hosts(locations).workspace('w', 1_000, 500)
  const entry = new VirtualEntry(fleet, locations, builder.snapshot(), () => ({ ...defaultPolicies(), records: placement() }))
  for (const zone of ZONES) entry.addServer('deposit', `server-${zone}`, zone, 6, 10)
  fleet.runFor(warmUp)
  return { fleet, entry }
}

const deposit = (entry: VirtualEntry, host: string, key: string, body = 'a', ticketAgeMs?: number): void => {
  entry.send(host, { service: 'deposit', workspace: 'w', method: 'POST', path: '/deposits', idempotencyKey: key, body, ticketAgeMs })
}

const describe = (outcomes: readonly VirtualOutcome[]): string[] => outcomes.map(row => `${row.host}: ${row.kind} ${row.reason} (${row.ran})`)

const ticket = (zone: string, number: number): string => `${zone}.1700000000000.abcdefgh${number}`

t.test('replays the first answer to a resend through another host', async t => {
  const { fleet, entry } = build(1, () => new RendezvousRecords())
  deposit(entry, 'n1-1', 'k1')
  fleet.runFor(500)
  deposit(entry, 's2-3', 'k1')
  fleet.runFor(500)
  deposit(entry, 's2-3', 'k1', 'another body')
  fleet.runFor(500)
  t.matchSnapshot(describe(entry.outcomes))
  t.same([...entry.runs.values()], [1])
})

t.test('without records, a resend through another host runs again', async t => {
  const { fleet, entry } = build(1, () => new NoRecords())
  deposit(entry, 'n1-1', 'k1')
  fleet.runFor(500)
  deposit(entry, 's2-3', 'k1')
  fleet.runFor(500)
  t.equal(countDuplicateRuns(entry.runs), 1)
})

t.test('refuses a resend while the first request runs and after its entry host has died', async t => {
  const { fleet, entry } = build(2, () => new RendezvousRecords())
  for (const server of entry.servers.values()) server.workMs = 2_000
  deposit(entry, 'n1-1', 'k1')
  fleet.runFor(300)
  deposit(entry, 'm1-1', 'k1')
  fleet.runFor(300)
  const node = fleet.nodes.get(toId<HostId>('n1-1'))
  if (node !== undefined) node.isDown = true
  fleet.runFor(30_000)
  deposit(entry, 'm1-1', 'k1')
  fleet.runFor(2_000)
  t.matchSnapshot(describe(entry.outcomes), 'first already running, then the earlier outcome is unknown')
  t.same([...entry.runs.values()], [1])
})

t.test('a request that was refused before it ran may be resent under its key', async t => {
  const { fleet, entry } = build(3, () => new RendezvousRecords())
  for (const server of entry.servers.values()) server.isDown = true
  deposit(entry, 'n1-1', 'k1')
  fleet.runFor(8_000)
  for (const server of entry.servers.values()) server.isDown = false
  fleet.runFor(8_000)
  deposit(entry, 'm1-1', 'k1')
  fleet.runFor(500)
  t.matchSnapshot(describe(entry.outcomes))
  t.same([...entry.runs.values()], [1])
})

t.test('restarted record hosts abstain on keys whose record they may have lost', async t => {
  const { fleet, entry } = build(4, () => new RendezvousRecords())
  deposit(entry, 'n1-1', ticket('n1', 1), 'a', 0)
  fleet.runFor(1_000)
  for (const location of locations.filter(row => row.zone === 'n1')) {
    const node = fleet.nodes.get(toId<HostId>(location.host))
    if (node !== undefined) node.isDown = true
    entry.startHost(location)
  }
  fleet.runFor(6_000)
  deposit(entry, 'm1-1', ticket('n1', 1), 'a', 7_000)
  fleet.runFor(1_500)
  deposit(entry, 'm1-1', ticket('n1', 2), 'a', 0)
  fleet.runFor(1_500)
  t.matchSnapshot(describe(entry.outcomes), 'the resend is refused; a ticket issued since the restart is served')
  t.equal(countDuplicateRuns(entry.runs), 0)
})

t.test('a ticket whose record has expired is refused', async t => {
  const { fleet, entry } = build(5, () => new RendezvousRecords())
  deposit(entry, 'n1-1', ticket('n1', 1), 'a', RECORD_RETENTION_MS)
  fleet.runFor(1_500)
  t.matchSnapshot(describe(entry.outcomes))
})

t.test('the latency of a claim: no record, records in the zone of the ticket, and records in three zones', async t => {
  const latency = (placement: () => RecordPlacement, key: (n: number) => string): number => {
    const { fleet, entry } = build(6, placement)
    for (let n = 0; n < 50; n += 1) {
      deposit(entry, 'n1-1', key(n), 'a', 0)
      fleet.runFor(100)
    }
    const times = entry.outcomes.map(row => row.endedAt - row.sentAt).sort((a, b) => a - b)
    return Math.round(times[25] ?? 0)
  }
  t.matchSnapshot({
    none: latency(() => new NoRecords(), n => `k${n}`),
    ticket: latency(() => new RendezvousRecords(), n => ticket('n1', n)),
    plainKey: latency(() => new RendezvousRecords(), n => `k${n}`)
  }, 'median in virtual milliseconds with 27 ms one way between regions')
})

const faultSteps = fc.array(fc.record({
  kind: fc.constantFrom('restart', 'cut', 'heal', 'freeze', 'thaw', 'thaw', 'crash-server', 'lose-answers'),
  target: fc.nat(locations.length - 1),
  pause: fc.integer({ min: 20, max: 800 })
}), { minLength: 5, maxLength: 25 })

t.test('never runs a deposit twice under restarts, partitions, pauses and resends through other hosts', async t => {
  const property = fc.property(fc.nat(1_000_000), faultSteps, fc.constantFrom({ loss: 0, doubled: 0, jitter: 0 }, { loss: 0.1, doubled: 0.2, jitter: 100 }), (seed, steps, network) => {
    const { fleet, entry } = build(seed, () => new RendezvousRecords(), 20_000)
    Object.assign(fleet.network, network)
    const cut = new Set<string>()
    fleet.network.isPartitioned = (from, to) => cut.has(from) !== cut.has(to)
    const startedAt = fleet.now
    for (let n = 0; n < 60; n += 1) {
      const key = n % 2 === 0 ? ticket(ZONES[n % 6] ?? 'n1', n) : `plain-${n}`
      for (let copy = 0; copy < 4; copy += 1) {
        const host = locations[(n * 7 + copy * 11) % locations.length]?.host ?? ''
        const sentAt = 50 + n * 90
        fleet.schedule(sentAt + copy * 700, () => { deposit(entry, host, key, 'a', n % 2 === 0 ? fleet.now - startedAt - sentAt : undefined) })
      }
    }
    for (const step of steps) {
      const location = locations[step.target]
      const node = location === undefined ? undefined : fleet.nodes.get(toId<HostId>(location.host))
      if (location === undefined || node === undefined) continue
      if (step.kind === 'restart') {
        node.isDown = true
        entry.startHost(location)
      } else if (step.kind === 'cut') cut.add(location.host)
      else if (step.kind === 'heal') cut.delete(location.host)
      else if (step.kind === 'freeze' || step.kind === 'thaw') node.isFrozen = step.kind === 'freeze'
      else {
        const server = entry.servers.get(`server-${location.zone}`)
        if (server === undefined) continue
        server.scriptAttempt = step.kind === 'crash-server' ? () => ({ afterMs: 5, result: { kind: 'lost', reason: 'ECONNRESET' } }) : null
      }
      fleet.runFor(step.pause)
    }
    fleet.runFor(10_000)
    const duplicates = countDuplicateRuns(entry.runs)
    if (duplicates > 0) throw new Error(`${duplicates} deposits ran twice`)
  })
  const numRuns = Number(process.env.RHUBARBSEAM_RUNS ?? 25)
  t.doesNotThrow(() => { fc.assert(property, { endOnFailure: process.env.RHUBARBSEAM_SHRINK === undefined, seed: Number(process.env.RHUBARBSEAM_SEED ?? 20261204), numRuns }) })
})

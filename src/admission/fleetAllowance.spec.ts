import t from 'tap'
import fc from 'fast-check'
import { toId } from '../core/id.js'
import type { HostId } from '../core/id.js'
import { defaultPolicies } from '../entry/entryWorld.js'
import type { EntryPolicies } from '../entry/entryWorld.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { delayByRegion, createLocations } from '../stand-ins/virtualTopology.js'
import type { VirtualOutcome } from '../stand-ins/virtualEntry.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { maxGrantsOverLimit } from '../invariants/allowanceInvariant.js'
import { FixedPartPolicy } from './allowancePolicy.js'

const locations = createLocations(['n', 'm', 's'], 2, 4)
const RATE = 100
const BURST = 50

const build = (seed: number, policies: () => EntryPolicies, workspaces: readonly string[] = ['w'], rate = RATE): { fleet: VirtualFleet, entry: VirtualEntry } => {
  const fleet = new VirtualFleet(seed)
  fleet.network.delay = delayByRegion(27)
  const builder = new ConfigurationBuilder().profile(defaultTerms).service('lookup').hosts(locations)
  for (const workspace of workspaces) builder.workspace(workspace, rate, rate / 2)
  const entry = new VirtualEntry(fleet, locations, builder.snapshot(), policies)
  for (const [number, zone] of ['n1', 'n2', 'm1', 'm2', 's1', 's2'].entries()) {
    for (let copy = 0; copy < 4; copy += 1) entry.addServer('lookup', `server-${number}-${copy}`, zone, 6, 5)
  }
  fleet.runFor(8_000)
  return { fleet, entry }
}

const share = (outcomes: readonly VirtualOutcome[], reason: string): number =>
  outcomes.filter(row => row.reason === reason).length / Math.max(1, outcomes.length)

const hostAt = (n: number): string => locations[n % locations.length]?.host ?? ''

const fixedPart = (): EntryPolicies => ({ ...defaultPolicies(), allowance: new FixedPartPolicy() })

t.test('lending serves a workspace whose whole traffic arrives at one host with a small share', async t => {
  for (const [name, policies, bound] of [['lending', defaultPolicies, 0.01], ['fixed-part', fixedPart, null]] as const) {
    const { fleet, entry } = build(1, policies)
    entry.sendAtRate('w', 'lookup', RATE * 0.9, fleet.now + 10, fleet.now + 2_010, () => hostAt(0))
    fleet.runFor(8_000)
    const refused = share(entry.outcomes, 'over-rate')
    t.equal(maxGrantsOverLimit(entry.admissions, RATE, BURST), 0, `${name}: nothing granted over rate and burst`)
    if (bound === null) t.ok(refused > 0.5, 'the baseline refuses most requests')
    else t.ok(refused < bound, `${name}: under 1 % wrongly refused in the two seconds after the move, found ${refused}`)
  }
})

t.test('rarely refuses workspaces at 90 % of their rate while their traffic moves between hosts every second', async t => {
  const workspaces = ['w1', 'w2', 'w3', 'w4', 'w5', 'w6', 'w7', 'w8']
  const { fleet, entry } = build(2, defaultPolicies, workspaces)
  const start = fleet.now + 10
  for (const [number, workspace] of workspaces.entries()) {
    entry.sendAtRate(workspace, 'lookup', RATE * 0.9, start, start + 20_000, (now, n) => hostAt(number * 5 + Math.floor((now - start) / 1_000) * 7 + n % 2))
  }
  fleet.runFor(26_000)
  const refused = share(entry.outcomes, 'over-rate')
  t.equal(entry.outcomes.length, entry.sentCount)
  for (const workspace of workspaces) {
    t.equal(maxGrantsOverLimit(entry.admissions.filter(row => row.workspace === workspace), RATE, BURST), 0)
  }
  t.ok(refused < 0.001, `under 0.1 % wrongly refused, found ${refused}`)
})

t.test('a workspace at five times its rate does not slow down the others', async t => {
  const run = (hasNoisyWorkspace: boolean): VirtualEntry => {
    const { fleet, entry } = build(3, defaultPolicies, ['quiet1', 'quiet2', 'quiet3', 'noisy'])
    const start = fleet.now + 10
    for (const [number, workspace] of ['quiet1', 'quiet2', 'quiet3'].entries()) {
      entry.sendAtRate(workspace, 'lookup', RATE * 0.9, start, start + 10_000, (_now, n) => hostAt(number * 3 + n % 3))
    }
    if (hasNoisyWorkspace) entry.sendAtRate('noisy', 'lookup', RATE * 5, start, start + 10_000, (_now, n) => hostAt(n))
    fleet.runFor(16_000)
    return entry
  }
  const p99 = (entry: VirtualEntry, workspace: string): number => {
    const times = entry.outcomes.filter(row => row.workspace === workspace && row.kind === 'served').map(row => row.endedAt - row.sentAt).sort((a, b) => a - b)
    return times[Math.floor(times.length * 0.99)] ?? 0
  }
  const quiet = run(false)
  const noisy = run(true)
  t.equal(maxGrantsOverLimit(noisy.admissions.filter(row => row.workspace === 'noisy'), RATE, BURST), 0)
  for (const workspace of ['quiet1', 'quiet2', 'quiet3']) {
    const own = noisy.outcomes.filter(row => row.workspace === workspace)
    const served = own.filter(row => row.kind === 'served').length / own.length
    t.ok(served >= 0.98, `${workspace}: at least 98 % served, found ${served}`)
    const before = p99(quiet, workspace)
    const after = p99(noisy, workspace)
    t.ok(after <= 1.5 * before, `${workspace}: p99 at most 1.5 times that without the noisy workspace, found ${after} against ${before}`)
  }
})

t.test('a partitioned zone serves from its own share, and the fleet stays within the limit', async t => {
  const { fleet, entry } = build(4, defaultPolicies)
  fleet.network.isPartitioned = (from, to) => from.startsWith('n1') !== to.startsWith('n1')
  const start = fleet.now + 10
  entry.sendAtRate('w', 'lookup', RATE * 0.1, start, start + 5_000, () => 'n1-1')
  entry.sendAtRate('w', 'lookup', RATE * 2, start, start + 5_000, (_now, n) => hostAt(4 + n % 20))
  fleet.runFor(12_000)
  const inside = entry.outcomes.filter(row => row.host === 'n1-1')
  t.equal(maxGrantsOverLimit(entry.admissions, RATE, BURST), 0)
  t.ok(share(inside, 'over-rate') < 0.01, 'a tenth of the rate is within the share of the zone')
})

t.test('never exceeds rate and burst under restarts, partitions, pauses and lost, duplicated or late messages', async t => {
  const property = fc.property(
    fc.nat(1_000_000),
    fc.array(fc.record({ kind: fc.constantFrom('restart', 'cut', 'heal', 'freeze', 'thaw', 'thaw'), target: fc.nat(locations.length - 1), pause: fc.integer({ min: 50, max: 900 }) }), { minLength: 5, maxLength: 20 }),
    fc.constantFrom({ loss: 0, doubled: 0, jitter: 0 }, { loss: 0.1, doubled: 0.3, jitter: 300 }),
    (seed, steps, network) => {
      const { fleet, entry } = build(seed, defaultPolicies)
      Object.assign(fleet.network, network)
      const cut = new Set<string>()
      fleet.network.isPartitioned = (from, to) => cut.has(from) !== cut.has(to)
      const start = fleet.now + 10
      entry.sendAtRate('w', 'lookup', RATE * 3, start, start + 8_000, (now, n) => hostAt(Math.floor(now / 700) + n % 3))
      for (const step of steps) {
        const location = locations[step.target]
        const node = location === undefined ? undefined : fleet.nodes.get(toId<HostId>(location.host))
        if (location === undefined || node === undefined) continue
        if (step.kind === 'restart') {
          node.isDown = true
          entry.startHost(location)
        } else if (step.kind === 'cut') cut.add(location.host)
        else if (step.kind === 'heal') cut.delete(location.host)
        else node.isFrozen = step.kind === 'freeze'
        fleet.runFor(step.pause)
      }
      fleet.runFor(12_000)
      const over = maxGrantsOverLimit(entry.admissions, RATE, BURST)
      if (over > 0) throw new Error(`${over} grants over rate and burst`)
    })
  const numRuns = Number(process.env.RHUBARBSEAM_RUNS ?? 12)
  t.doesNotThrow(() => { fc.assert(property, { endOnFailure: process.env.RHUBARBSEAM_SHRINK === undefined, seed: Number(process.env.RHUBARBSEAM_SEED ?? 20261204), numRuns }) })
})

t.test('a borrower that was paused grants nothing on loans that have run out meanwhile', async t => {
  for (const pauseMs of [1_000, 3_000, 10_000, 30_000]) {
    const { fleet, entry } = build(4, defaultPolicies)
    const start = fleet.now + 10
    const end = start + 4_000 + pauseMs
    const paused = fleet.nodes.get(toId<HostId>(hostAt(0)))
    if (paused === undefined) throw new Error('no host')
    // All callers use one host, which borrows. During its pause half of them wait there; the others go on with the lenders.
    entry.sendAtRate('w', 'lookup', RATE, start, end, (now, n) => hostAt(now < start + 2_000 || n % 2 === 0 ? 0 : 1 + n % (locations.length - 1)))
    fleet.runFor(2_010)
    paused.isFrozen = true
    fleet.runFor(pauseMs)
    paused.isFrozen = false
    fleet.runFor(8_000)
    t.ok(entry.admissions.some(row => row.admittedAt > start + 2_000 + pauseMs), `pause of ${pauseMs} ms: it serves again`)
    t.equal(maxGrantsOverLimit(entry.admissions, RATE, BURST), 0, `pause of ${pauseMs} ms: nothing granted over rate and burst`)
  }
})

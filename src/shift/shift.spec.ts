import t from 'tap'
import { defaultPolicies } from '../entry/entryWorld.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { delayByRegion, createLocations } from '../stand-ins/virtualTopology.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { countWindowsOverCap } from '../invariants/shiftInvariant.js'
import { CappedShift, UncappedShift } from './shiftPolicy.js'
import type { ShiftPolicy } from './shiftPolicy.js'

const locations = createLocations(['n', 'm', 's'], 2, 4)
const WINDOW_MS = 5_000
const CAP = 0.2

const build = (seed: number, policy: () => ShiftPolicy, warmUpMs = 10_000): { fleet: VirtualFleet, entry: VirtualEntry } => {
  const fleet = new VirtualFleet(seed)
  fleet.network.delay = delayByRegion(27)
  const builder = new ConfigurationBuilder().profile({ ...defaultTerms, shiftCap: CAP, shiftWindowMs: WINDOW_MS }).service('lookup', 2_000).hosts(locations).workspace('w', 10_000, 10_000)
  const entry = new VirtualEntry(fleet, locations, builder.snapshot(), () => ({ ...defaultPolicies(), shift: policy() }))
  for (const zone of ['n1', 'n2', 'm1', 'm2', 's1', 's2']) {
    for (let copy = 0; copy < 3; copy += 1) entry.addServer('lookup', `server-${zone}-${copy}`, zone, 5, 20)
  }
  fleet.runFor(warmUpMs)
  return { fleet, entry }
}

const overCap = (entry: VirtualEntry, start: number, region: string): number => countWindowsOverCap(
  entry.outcomes.filter(row => row.host.startsWith(region)).map(row => ({ at: row.sentAt, host: row.host })),
  entry.placements.filter(row => row.isAway && row.host.startsWith(region)).map(row => ({ at: row.placedAt, host: row.host })),
  start,
  WINDOW_MS,
  CAP
)

/** Percentages of away and refused requests of the hosts in region n, for each window. */
const timeline = (entry: VirtualEntry, from: number, until: number): string[] => {
  const lines: string[] = []
  for (let at = from; at < until; at += WINDOW_MS) {
    const sent = entry.outcomes.filter(row => row.host.startsWith('n') && row.sentAt >= at && row.sentAt < at + WINDOW_MS)
    const away = entry.placements.filter(row => row.host.startsWith('n') && row.sentAt >= at && row.sentAt < at + WINDOW_MS && row.isAway)
    const refused = sent.filter(row => row.kind !== 'served')
    const percentage = (count: number): string => `${Math.round(100 * count / Math.max(1, sent.length))} %`
    lines.push(`away ${percentage(away.length)}, refused ${percentage(refused.length)}`)
  }
  return lines
}

const setRegionDown = (entry: VirtualEntry, isDown: boolean): void => {
  for (const [name, server] of entry.servers) {
    if (name.startsWith('server-n')) server.isDown = isDown
  }
}

t.test('when a region loses its servers, traffic moves away and back under the cap', async t => {
  for (const [name, policy] of [['capped', () => new CappedShift()], ['uncapped', () => new UncappedShift()]] as const) {
    const { fleet, entry } = build(1, policy)
    const start = Math.ceil(fleet.now / WINDOW_MS) * WINDOW_MS
    entry.sendAtRate('w', 'lookup', 240, start, start + 14 * WINDOW_MS, (_now, n) => locations[n % locations.length]?.host ?? '')
    fleet.runUntil(start + WINDOW_MS)
    setRegionDown(entry, true)
    fleet.runUntil(start + 8 * WINDOW_MS)
    setRegionDown(entry, false)
    fleet.runFor(10 * WINDOW_MS)
    t.matchSnapshot(timeline(entry, start, start + 14 * WINDOW_MS), name)
    const over = overCap(entry, start, 'n')
    if (name === 'capped') t.equal(over, 0, 'no window differs from the previous one by more than the cap')
    else t.ok(over > 0, 'the baseline exceeds the cap')
  }
})

t.test('spill-over of single requests counts against the cap', async t => {
  const { fleet, entry } = build(2, () => new CappedShift())
  for (const [name, server] of entry.servers) {
    if (name.startsWith('server-n')) server.workMs = 400
  }
  const start = Math.ceil(fleet.now / WINDOW_MS) * WINDOW_MS
  entry.sendAtRate('w', 'lookup', 200, start, start + 2 * WINDOW_MS, (_now, n) => locations[n % 8]?.host ?? '')
  fleet.runFor(4 * WINDOW_MS)
  t.ok(entry.placements.some(row => row.isAway), 'some requests spill over')
  t.equal(overCap(entry, start, 'n'), 0)
})

t.test('no region exceeds its slots while other regions spill over into it', async t => {
  const { fleet, entry } = build(3, () => new CappedShift())
  setRegionDown(entry, true)
  const start = Math.ceil(fleet.now / WINDOW_MS) * WINDOW_MS
  entry.sendAtRate('w', 'lookup', 900, start, start + 3 * WINDOW_MS, (_now, n) => locations[n % locations.length]?.host ?? '')
  let worst = 0
  for (let at = start; at < start + 3 * WINDOW_MS; at += 100) {
    fleet.runUntil(at)
    for (const region of ['m', 's']) {
      let running = 0
      let slots = 0
      for (const [name, server] of entry.servers) {
        if (!name.startsWith(`server-${region}`)) continue
        running += server.runningAttempts.size
        slots += server.announcement.slots
      }
      worst = Math.max(worst, running / slots)
    }
  }
  let shed = 0
  let started = 0
  for (const server of entry.servers.values()) {
    shed += server.shedCount
    started += server.startedCount
  }
  t.ok(worst <= 1, `peak utilization ${worst} of the slots`)
  t.comment(`${shed} sheds, ${started} attempts started`)
})

/** A load like a booking desk's: four kinds of requests to three services over regions of uneven size, with waves. */

import { toId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import { ExpectedLatency } from '../backend-choice/backendChoice.js'
import { defaultPolicies } from '../entry/entryWorld.js'
import type { EntryPolicies } from '../entry/entryWorld.js'
import { RankedMaxMinQueue } from '../exchange/queuePolicy.js'
import type { Plan } from '../plan/types.js'
import { SharedRetries } from '../retry-budget/retryBudget.js'
import { ConfigurationBuilder, defaultTerms } from './configurationBuilder.js'
import { VirtualEntry } from './virtualEntry.js'
import { delayByRegion, createLocations } from './virtualTopology.js'
import type { VirtualServer } from './virtualServer.js'
import { VirtualFleet } from './virtualFleet.js'

/** A kind of requests. */
interface Kind {
  readonly name: string
  readonly service: string
  readonly perSecond: number
  readonly workMs: Millis
  readonly targetMs: Millis
  readonly timeoutMs: Millis
  readonly rank: number
  readonly worth: number
  readonly objects: number
}

const KINDS: readonly Kind[] = [
  { name: 'peek', service: 'calendar', perSecond: 238, workMs: 360, targetMs: 300, timeoutMs: 800, rank: 2, worth: 1, objects: 59 },
  { name: 'deposit', service: 'ledger', perSecond: 114, workMs: 480, targetMs: 400, timeoutMs: 1_000, rank: 1, worth: 2, objects: 28 },
  { name: 'upload', service: 'reels', perSecond: 130, workMs: 880, targetMs: 600, timeoutMs: 1_500, rank: 2, worth: 1, objects: 32 },
  { name: 'lookup', service: 'reels', perSecond: 93, workMs: 144, targetMs: 200, timeoutMs: 800, rank: 1, worth: 2, objects: 24 }
]

interface Pool { readonly service: string, readonly slots: number, readonly memory: number, readonly perZone: readonly number[] }

const POOLS: readonly Pool[] = [
  { service: 'calendar', slots: 6, memory: 61, perZone: [1, 2, 3] },
  { service: 'ledger', slots: 4, memory: 29, perZone: [1, 2, 3] },
  { service: 'reels', slots: 6, memory: 41, perZone: [1, 3, 4] }
]

const REGIONS = ['n', 'm', 's']
const REGION_MS = 35
const WARM_PART = 0.3
const LATE_PART = 0.2
const WAVE_SWING = 0.55
const WAVE_MS = 36_000
/** Part of a wave by which the smallest region is ahead, so that it peaks in the measured time. */
const WAVE_PHASE = 0.7
const AUTHORITY = 'a.example'

const plan: Plan = {
  version: 1,
  terms: { ...defaultTerms, shiftCap: 0.15, shiftWindowMs: 2_000 },
  routes: KINDS.map(kind => ({ route: toId(kind.name), authority: AUTHORITY, prefix: `/${kind.name}/`, repetition: 'idempotent', timeoutMs: kind.timeoutMs, targetMs: kind.targetMs, rank: kind.rank, split: [{ service: toId(kind.service), weight: 1 }], attempts: 2, isOpen: true, hasAffinity: true, allowedRegions: [] })),
  services: POOLS.map(pool => ({ service: toId(pool.service), healthPath: '/health', connections: 800, warmup: { coldMs: 0, ratePerS: 100 } })),
  workspaces: [],
  document: null
}

/** How a load is played. */
export interface BookingLoadOptions {
  /** Times the ordinary rate. */
  readonly load: number
  readonly warmUpMs: Millis
  readonly measuredMs: Millis
  readonly policies?: Partial<EntryPolicies>
  /** What happens to the servers when the measured time begins. */
  readonly injectFaults?: (servers: readonly VirtualServer[]) => void
}

/** Worth earned of the worth asked for, 0 to 1. */
export interface BookingLoadResult {
  readonly all: number
  readonly worstRegion: number
  readonly byKind: Readonly<Record<string, number>>
  readonly reasons: Readonly<Record<string, number>>
}

const addServers = (entry: VirtualEntry): VirtualServer[] => {
  const servers: VirtualServer[] = []
  for (const { service, slots, memory, perZone } of POOLS) {
    for (const [position, region] of REGIONS.entries()) {
      for (const zone of [`${region}1`, `${region}2`]) {
        for (let number = 1; number <= (perZone[position] ?? 0); number += 1) {
          const server = entry.addServer(service, `${service}-${zone}-${number}`, zone, slots, 100)
          Object.assign(server, { tellsLoad: true, queue: slots * 3, memory: { most: memory, warmPart: WARM_PART, objects: new Set() } })
          servers.push(server)
        }
      }
    }
  }
  return servers
}

const waveAt = (region: string, now: Millis): number =>
  1 + WAVE_SWING * Math.sin(2 * Math.PI * (now / WAVE_MS + WAVE_PHASE + REGIONS.indexOf(region) / REGIONS.length))

/** Plays the load under the virtual clock. */
export const runBookingLoad = ({ load, warmUpMs, measuredMs, policies, injectFaults: trouble }: BookingLoadOptions): BookingLoadResult => {
  const fleet = new VirtualFleet(9)
  fleet.network.delay = delayByRegion(REGION_MS)
  const places = createLocations(REGIONS, 2, 4)
  const entry = new VirtualEntry(fleet, places, new ConfigurationBuilder().run({ kind: 'put-plan', plan }).snapshot(), () => ({ ...defaultPolicies(), queue: new RankedMaxMinQueue(), retries: new SharedRetries({ ratio: 0.14, slack: 90 }), choice: new ExpectedLatency(), ...policies }))
  const servers = addServers(entry)
  fleet.runFor(8_000)
  const start = fleet.now
  const kindOf = new Map<string, Kind>()
  const whole = KINDS.reduce((sum, kind) => sum + kind.perSecond, 0)
  const { random } = fleet
  let isTroubled = false
  while (fleet.now < start + warmUpMs + measuredMs) {
    if (!isTroubled && fleet.now >= start + warmUpMs) {
      isTroubled = true
      trouble?.(servers)
    }
    const { host = '', region = '' } = places[random.below(places.length)] ?? {}
    let left = random.unit() * whole
    const kind = KINDS.find(each => { left -= each.perSecond; return left < 0 })
    if (kind !== undefined && random.unit() * (1 + WAVE_SWING) < waveAt(region, fleet.now)) {
      const exchange = entry.send(host, { service: kind.service, workspace: '', authority: AUTHORITY, path: `/${kind.name}/x`, affinity: `${kind.name}-${region}-${random.below(kind.objects)}`, workMs: kind.workMs * (0.85 + 0.3 * random.unit()) })
      kindOf.set(exchange, kind)
    }
    fleet.runFor(2_000 * random.unit() / (whole * load * (1 + WAVE_SWING)))
  }
  fleet.runFor(4_000)
  return summarize(entry, kindOf, start + warmUpMs)
}

const summarize = (entry: VirtualEntry, kindOf: ReadonlyMap<string, Kind>, from: Millis): BookingLoadResult => {
  const owed: Record<string, number> = {}
  const earned: Record<string, number> = {}
  const reasons: Record<string, number> = {}
  const add = (sums: Record<string, number>, key: string, worth: number): void => { sums[key] = (sums[key] ?? 0) + worth }
  for (const row of entry.outcomes) {
    const kind = kindOf.get(row.exchange)
    if (kind === undefined || row.sentAt < from) continue
    const part = row.kind !== 'served' ? 0 : row.endedAt - row.sentAt <= kind.targetMs ? 1 : LATE_PART
    add(reasons, row.kind === 'served' ? (part === 1 ? 'in time' : 'late') : row.reason, 1)
    for (const key of ['all', kind.name, `region ${row.host.slice(0, 1)}`]) {
      add(owed, key, kind.worth)
      add(earned, key, kind.worth * part)
    }
  }
  const partOf = (key: string): number => Math.round(1_000 * (earned[key] ?? 0) / (owed[key] ?? 1)) / 1_000
  return {
    all: partOf('all'),
    worstRegion: Math.min(...REGIONS.map(region => partOf(`region ${region}`))),
    byKind: Object.fromEntries(KINDS.map(kind => [kind.name, partOf(kind.name)])),
    reasons
  }
}

/** Simulates the load of a booking site: four kinds of requests to three services, in regions of uneven size, at rates that vary in waves. */

import sin from '@stdlib/math-base-special-sin'
import { toId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import { ExpectedLatency } from '../backend-choice/backendChoice.js'
import { defaultPolicies } from '../entry/entryWorld.js'
import type { EntryPolicies } from '../entry/entryWorld.js'
import { RankedMaxMinQueue } from '../exchange/queuePolicy.js'
import type { Plan } from '../plan/types.js'
import { FleetRetryBudget } from '../retry-budget/retryBudget.js'
import { ConfigurationBuilder, defaultTerms } from './configurationBuilder.js'
import { VirtualEntry } from './virtualEntry.js'
import { delayByRegion, createLocations } from './virtualTopology.js'
import type { VirtualServer } from './virtualServer.js'
import { VirtualFleet } from './virtualFleet.js'

interface RequestKind {
  readonly name: string
  readonly service: string
  readonly perSecond: number
  readonly workMs: Millis
  readonly targetMs: Millis
  readonly timeoutMs: Millis
  readonly rank: number
  /** Number of distinct affinity keys in each region. */
  readonly objectCount: number
}

const REQUEST_KINDS: readonly RequestKind[] = [
  { name: 'peek', service: 'calendar', perSecond: 238, workMs: 360, targetMs: 300, timeoutMs: 800, rank: 2, objectCount: 59 },
  { name: 'deposit', service: 'ledger', perSecond: 114, workMs: 480, targetMs: 400, timeoutMs: 1_000, rank: 1, objectCount: 28 },
  { name: 'upload', service: 'reels', perSecond: 130, workMs: 880, targetMs: 600, timeoutMs: 1_500, rank: 2, objectCount: 32 },
  { name: 'lookup', service: 'reels', perSecond: 93, workMs: 144, targetMs: 200, timeoutMs: 800, rank: 1, objectCount: 24 }
]

interface ServerPool { readonly service: string, readonly slots: number, readonly cacheCapacity: number, /** Number of servers in a zone of each region. */ readonly serversPerZone: readonly number[] }

const SERVER_POOLS: readonly ServerPool[] = [
  { service: 'calendar', slots: 6, cacheCapacity: 61, serversPerZone: [1, 2, 3] },
  { service: 'ledger', slots: 4, cacheCapacity: 29, serversPerZone: [1, 2, 3] },
  { service: 'reels', slots: 6, cacheCapacity: 41, serversPerZone: [1, 3, 4] }
]

const REGIONS = ['n', 'm', 's']
const REGION_DELAY_MS = 35
const WARM_FACTOR = 0.3
const WAVE_AMPLITUDE = 0.55
const WAVE_PERIOD_MS = 36_000
/** Phase of the first region's wave, as a fraction of the period, so that the smallest region peaks in the measured period. */
const WAVE_PHASE = 0.7
const AUTHORITY = 'a.example'

const plan: Plan = {
  version: 1,
  terms: { ...defaultTerms, shiftCap: 0.15, shiftWindowMs: 2_000 },
  routes: REQUEST_KINDS.map(kind => ({ route: toId(kind.name), authority: AUTHORITY, prefix: `/${kind.name}/`, repetition: 'idempotent', timeoutMs: kind.timeoutMs, targetMs: kind.targetMs, rank: kind.rank, split: [{ service: toId(kind.service), weight: 1 }], attempts: 2, isOpen: true, hasAffinity: true, allowedRegions: [] })),
  services: SERVER_POOLS.map(pool => ({ service: toId(pool.service), healthPath: '/health', connections: 800, warmup: { coldMs: 0, ratePerS: 100 } })),
  workspaces: [],
  document: null
}

/** Options of a run of the booking load. */
export interface BookingLoadOptions {
  /** Multiplier of the normal request rate. */
  readonly load: number
  readonly warmUpMs: Millis
  readonly measuredMs: Millis
  readonly policies?: Partial<EntryPolicies>
  /** Called once with all servers when the measured period starts. */
  readonly injectFaults?: (servers: readonly VirtualServer[]) => void
}

/** What callers saw. Fractions are 0 to 1, over the requests of the measured period. */
export interface BookingLoadResult {
  /** Fraction that was answered while its caller still waited. */
  readonly answered: number
  /** The same in the region, and for the kind of request, where it is lowest. */
  readonly worstRegion: number
  readonly worstKind: number
  /** Latency of the answers, as a multiple of the work time of a request whose object is not cached: the median and the 95th percentile. */
  readonly medianSlowdown: number
  readonly p95Slowdown: number
  /** Time after which half of the refused callers knew. */
  readonly medianRefusalMs: Millis
  /** Number of requests by outcome. */
  readonly reasons: Readonly<Record<string, number>>
}

const addServers = (entry: VirtualEntry): VirtualServer[] => {
  const servers: VirtualServer[] = []
  for (const { service, slots, cacheCapacity, serversPerZone } of SERVER_POOLS) {
    for (const [position, region] of REGIONS.entries()) {
      for (const zone of [`${region}1`, `${region}2`]) {
        for (let number = 1; number <= (serversPerZone[position] ?? 0); number += 1) {
          const server = entry.addServer(service, `${service}-${zone}-${number}`, zone, slots, 100)
          Object.assign(server, { reportsLoad: true, queueCapacity: slots * 3, cache: { capacity: cacheCapacity, warmFactor: WARM_FACTOR, objects: new Set() } })
          servers.push(server)
        }
      }
    }
  }
  return servers
}

const waveFactorAt = (region: string, now: Millis): number =>
  1 + WAVE_AMPLITUDE * sin(2 * Math.PI * (now / WAVE_PERIOD_MS + WAVE_PHASE + REGIONS.indexOf(region) / REGIONS.length))

/** Runs the booking load under a virtual clock with a fixed seed and returns what its callers saw. */
export const runBookingLoad = ({ load, warmUpMs, measuredMs, policies, injectFaults }: BookingLoadOptions): BookingLoadResult => {
  const fleet = new VirtualFleet(9)
  fleet.network.delay = delayByRegion(REGION_DELAY_MS)
  const locations = createLocations(REGIONS, 2, 4)
  const entry = new VirtualEntry(fleet, locations, new ConfigurationBuilder().run({ kind: 'put-plan', plan }).snapshot(), () => ({ ...defaultPolicies(), queue: new RankedMaxMinQueue(), retries: new FleetRetryBudget({ ratio: 0.14, slack: 90 }), choice: new ExpectedLatency(), ...policies }))
  const servers = addServers(entry)
  fleet.runFor(8_000)
  const start = fleet.now
  const kindOf = new Map<string, RequestKind>()
  const totalPerSecond = REQUEST_KINDS.reduce((sum, kind) => sum + kind.perSecond, 0)
  const { random } = fleet
  let hasInjectedFaults = false
  while (fleet.now < start + warmUpMs + measuredMs) {
    if (!hasInjectedFaults && fleet.now >= start + warmUpMs) {
      hasInjectedFaults = true
      injectFaults?.(servers)
    }
    const { host = '', region = '' } = locations[random.below(locations.length)] ?? {}
    let remaining = random.unit() * totalPerSecond
    const kind = REQUEST_KINDS.find(candidate => { remaining -= candidate.perSecond; return remaining < 0 })
    if (kind !== undefined && random.unit() * (1 + WAVE_AMPLITUDE) < waveFactorAt(region, fleet.now)) {
      const exchange = entry.send(host, { service: kind.service, workspace: '', authority: AUTHORITY, path: `/${kind.name}/x`, affinity: `${kind.name}-${region}-${random.below(kind.objectCount)}`, workMs: kind.workMs * (0.85 + 0.3 * random.unit()) })
      kindOf.set(exchange, kind)
    }
    fleet.runFor(2_000 * random.unit() / (totalPerSecond * load * (1 + WAVE_AMPLITUDE)))
  }
  fleet.runFor(4_000)
  return summarize(entry, kindOf, start + warmUpMs)
}

const quantile = (values: readonly number[], fraction: number): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length * fraction)] ?? 0

const round = (value: number): number => Math.round(value * 1_000) / 1_000

const summarize = (entry: VirtualEntry, kindOf: ReadonlyMap<string, RequestKind>, from: Millis): BookingLoadResult => {
  const sent: Record<string, number> = {}
  const answered: Record<string, number> = {}
  const reasons: Record<string, number> = {}
  const slowdowns: number[] = []
  const refusalTimes: Millis[] = []
  const count = (sums: Record<string, number>, key: string): void => { sums[key] = (sums[key] ?? 0) + 1 }
  for (const row of entry.outcomes) {
    const kind = kindOf.get(row.exchange)
    if (kind === undefined || row.sentAt < from) continue
    const tookMs = row.endedAt - row.sentAt
    const isAnswered = row.kind === 'served' && tookMs <= kind.timeoutMs
    count(reasons, row.kind !== 'served' ? row.reason : isAnswered ? 'answered' : 'too late')
    if (isAnswered) slowdowns.push(tookMs / kind.workMs)
    if (row.kind === 'refused') refusalTimes.push(tookMs)
    for (const key of ['all', kind.name, `region ${row.host.slice(0, 1)}`]) {
      count(sent, key)
      if (isAnswered) count(answered, key)
    }
  }
  const fractionOf = (key: string): number => round((answered[key] ?? 0) / (sent[key] ?? 1))
  return {
    answered: fractionOf('all'),
    worstRegion: Math.min(...REGIONS.map(region => fractionOf(`region ${region}`))),
    worstKind: Math.min(...REQUEST_KINDS.map(kind => fractionOf(kind.name))),
    medianSlowdown: round(quantile(slowdowns, 0.5)),
    p95Slowdown: round(quantile(slowdowns, 0.95)),
    medianRefusalMs: Math.round(quantile(refusalTimes, 0.5)),
    reasons
  }
}

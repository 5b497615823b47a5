/** Simulates callers of three routes beyond the capacity of their servers. The same options give the same requests, whatever the targets. */

import { toId } from '../core/id.js'
import type { ExchangeId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import { ExpectedLatency } from '../backend-choice/backendChoice.js'
import { defaultPolicies } from '../entry/entryWorld.js'
import { RankedMaxMinQueue } from '../exchange/queuePolicy.js'
import type { Plan } from '../plan/types.js'
import { FleetRetryBudget } from '../retry-budget/retryBudget.js'
import { ConfigurationBuilder, defaultTerms } from './configurationBuilder.js'
import { VirtualEntry } from './virtualEntry.js'
import type { VirtualOutcome } from './virtualEntry.js'
import { VirtualFleet } from './virtualFleet.js'
import { createLocations, delayByRegion } from './virtualTopology.js'

/** A kind of request and the time that its callers have. */
interface CallerKind { readonly name: string, readonly workMs: Millis, readonly timeoutMs: Millis, readonly targetMs: Millis, readonly rank: number }

const CALLER_KINDS: readonly CallerKind[] = [
  { name: 'short', workMs: 240, timeoutMs: 1_100, targetMs: 300, rank: 1 },
  { name: 'medium', workMs: 400, timeoutMs: 1_700, targetMs: 450, rank: 1 },
  { name: 'long', workMs: 700, timeoutMs: 2_900, targetMs: 800, rank: 2 }
]

const AUTHORITY = 'a.example'
const SLOTS = 6
const SERVERS_PER_ZONE = 6
const REGION_DELAY_MS = 35
/** Time for hosts and servers to learn of each other. */
const START_MS: Millis = 8_000
/** Work times vary by this fraction, evenly around the mean. */
const WORK_RANGE = 0.3
const PAUSE_MS: Millis = 600

/** What happens to the servers in the middle of the load. */
export type ServerFault = 'none' | 'slow' | 'pause' | 'restart'

/** A load on two regions with 12 entry hosts and 24 servers. */
export interface OverloadOptions {
  readonly seed: number
  /** Multiple of the rate that the servers can serve. */
  readonly load: number
  /** Multiplier of each route's latency target. */
  readonly targetFactor: number
  readonly durationMs: Millis
  readonly fault: ServerFault
  /** Whether a refused caller returns once, at the time that it was told. */
  readonly returns: boolean
}

/** A request's outcome, with its kind. `isReturn` marks a caller's second try. */
export interface OverloadOutcome extends VirtualOutcome { readonly caller: CallerKind, readonly isReturn: boolean }

/** Outcomes in the order in which they came, and the time that servers worked. */
export interface OverloadResult {
  readonly outcomes: readonly OverloadOutcome[]
  readonly runs: ReadonlyArray<{ readonly sentAt: Millis, readonly placedAt: Millis, readonly isAway: boolean }>
}

const createPlan = (targetFactor: number): Plan => ({
  version: 1,
  terms: { ...defaultTerms, shiftCap: 0.15, shiftWindowMs: 2_000 },
  routes: CALLER_KINDS.map(({ name, timeoutMs, targetMs, rank }) => ({ route: toId(name), authority: AUTHORITY, prefix: `/${name}/`, repetition: 'idempotent', timeoutMs, targetMs: targetMs * targetFactor, rank, split: [{ service: toId('s'), weight: 1 }], attempts: 2, isOpen: true, hasAffinity: false, allowedRegions: [] })),
  services: [{ service: toId('s'), healthPath: '/health', connections: 1_000, warmup: { coldMs: 0, ratePerS: 100 } }],
  workspaces: [],
  document: null
})

const createFleet = ({ seed, targetFactor }: OverloadOptions): { readonly fleet: VirtualFleet, readonly entry: VirtualEntry } => {
  const fleet = new VirtualFleet(seed)
  fleet.network.delay = delayByRegion(REGION_DELAY_MS)
  const snapshot = new ConfigurationBuilder().run({ kind: 'put-plan', plan: createPlan(targetFactor) }).snapshot()
  const entry = new VirtualEntry(fleet, createLocations(['n', 'm'], 2, 3), snapshot, () => ({ ...defaultPolicies(), queue: new RankedMaxMinQueue(), retries: new FleetRetryBudget({ ratio: 0.14, slack: 90 }), choice: new ExpectedLatency() }))
  for (const zone of ['n1', 'n2', 'm1', 'm2']) {
    for (let number = 1; number <= SERVERS_PER_ZONE; number += 1) Object.assign(entry.addServer('s', `${zone}-s${number}`, zone, SLOTS, 100), { reportsLoad: true, queueCapacity: SLOTS * 3 })
  }
  return { fleet, entry }
}

const injectFault = (fault: ServerFault, { fleet, entry }: ReturnType<typeof createFleet>): void => {
  const servers = [...entry.servers.values()]
  for (const [index, server] of servers.entries()) {
    if (fault === 'slow' && index % 3 === 0) server.slowdownFactor = 5
    if (fault === 'pause') server.pauseUntil = fleet.now + PAUSE_MS
    if (fault === 'restart' && index % 3 === 0) entry.crashServer(server, 1_000)
  }
}

/** Runs the load and returns what its callers saw. */
export const runOverload = (options: OverloadOptions): OverloadResult => {
  const { load, durationMs, fault, returns } = options
  const { fleet, entry } = createFleet(options)
  const callers = new Map<ExchangeId, { readonly kind: CallerKind, readonly isReturn: boolean, readonly sentAt: Millis, readonly timeoutMs: Millis }>()
  const send = (host: string, kind: CallerKind, workMs: Millis, timeoutMs: Millis, isReturn: boolean): void => {
    const exchange = entry.send(host, { service: 's', workspace: '', authority: AUTHORITY, path: `/${kind.name}/x`, workMs, timeoutMs })
    callers.set(exchange, { kind, isReturn, sentAt: fleet.now, timeoutMs })
    if (!returns || isReturn) return
    entry.onRefused.set(exchange, ({ retryAfterMs }) => {
      const left = timeoutMs - (fleet.now - (callers.get(exchange)?.sentAt ?? 0)) - (retryAfterMs ?? 0)
      if (left > 0) fleet.schedule(retryAfterMs ?? 0, () => { send(host, kind, workMs, left, true) })
    })
  }
  fleet.runFor(START_MS)
  const hosts = entry.locations.map(({ host }) => host)
  const meanWorkMs = CALLER_KINDS.reduce((sum, { workMs }) => sum + workMs, 0) / CALLER_KINDS.length
  const perMs = load * SERVERS_PER_ZONE * 4 * SLOTS / meanWorkMs
  // The load has a random source of its own, so that decisions of the fleet don't change it.
  const random = new VirtualFleet(options.seed + 1).random
  for (let at = 0; at < durationMs; at += 2 * random.unit() / perMs) {
    const kind = CALLER_KINDS[random.below(CALLER_KINDS.length)] as CallerKind
    const workMs = kind.workMs * (1 + WORK_RANGE * (random.unit() - 0.5))
    const host = hosts[random.below(hosts.length)] as string
    fleet.schedule(at, () => { send(host, kind, workMs, kind.timeoutMs, false) })
  }
  fleet.schedule(durationMs / 2, () => { injectFault(fault, { fleet, entry }) })
  fleet.runFor(durationMs + 10_000)
  const outcomes = entry.outcomes.map(row => {
    const caller = callers.get(row.exchange)
    return { ...row, caller: caller?.kind as CallerKind, isReturn: caller?.isReturn === true }
  })
  return { outcomes, runs: entry.placements }
}

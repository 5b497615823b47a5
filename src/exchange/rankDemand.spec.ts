import t from 'tap'
import { toId } from '../core/id.js'
import type { ServiceId } from '../core/id.js'
import { defaultPolicies } from '../entry/entryWorld.js'
import type { Plan, Route } from '../plan/types.js'
import { FleetRetryBudget } from '../retry-budget/retryBudget.js'
import { ExpectedLatency } from '../backend-choice/backendChoice.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { createLocations, delayByRegion } from '../stand-ins/virtualTopology.js'
import { countRank, createRankDemand, urgentFraction } from './rankDemand.js'
import { RankedMaxMinQueue } from './queuePolicy.js'

const service = toId<ServiceId>('s')
const TARGET_MS = 300
const WORK_MS = 100
/** Requests per second that the servers can run. */
const CAPACITY_PER_SECOND = 4 * 5 * 1_000 / WORK_MS
const LOAD_SECONDS = 6

t.test('the urgent fraction follows the requests of the last seconds', async t => {
  const tables = { rankDemand: createRankDemand() }
  const fractionAt = (rank: number): number => Math.round(urgentFraction(tables, service, rank) * 100) / 100
  const fractions = { withoutRequests: fractionAt(2), oneInFour: 0, mostUrgent: 0, later: 0 }
  for (const rank of [2, 1, 2, 2]) countRank(tables, service, rank, 0)
  fractions.oneInFour = fractionAt(2)
  fractions.mostUrgent = fractionAt(1)
  for (let count = 0; count < 10; count += 1) countRank(tables, service, 2, 30_000)
  fractions.later = fractionAt(2)
  t.matchSnapshot(fractions)
})

const route = (name: string, rank: number): Route => ({ route: toId(name), authority: 'a.example', prefix: `/${name}/`, repetition: 'idempotent', timeoutMs: 2_000, targetMs: TARGET_MS, rank, split: [{ service: toId('s'), weight: 1 }], attempts: 2, isOpen: true, hasAffinity: false, allowedRegions: [] })

// Runs a load on one route of a plan, and returns how many requests were served in time and how many were refused.
const runLoad = (routes: readonly Route[], load: number): { readonly inTime: number, readonly refused: number } => {
  const plan: Plan = { version: 1, terms: { ...defaultTerms, shiftCap: 0.15, shiftWindowMs: 2_000 }, routes, services: [{ service: toId('s'), healthPath: '/health', connections: 100, warmup: { coldMs: 0, ratePerS: 100 } }], workspaces: [], document: null }
  const fleet = new VirtualFleet(4)
  fleet.network.delay = delayByRegion(35)
  const locations = createLocations(['n', 'm'], 1, 4)
  const entry = new VirtualEntry(fleet, locations, new ConfigurationBuilder().run({ kind: 'put-plan', plan }).snapshot(), () => ({ ...defaultPolicies(), queue: new RankedMaxMinQueue(), retries: new FleetRetryBudget({ ratio: 0.2, slack: 100 }), choice: new ExpectedLatency() }))
  for (const name of ['n1', 'm1'].flatMap(zone => [`${zone}-a`, `${zone}-b`])) {
    const server = entry.addServer('s', name, name.slice(0, 2), 5, WORK_MS)
    server.reportsLoad = true
    server.queueCapacity = 15
  }
  const requestsPerSecond = CAPACITY_PER_SECOND * load
  fleet.runFor(8_000)
  for (let count = 0; count < requestsPerSecond * LOAD_SECONDS; count += 1) {
    const { host = '' } = locations[fleet.random.below(locations.length)] ?? {}
    entry.send(host, { service: 's', workspace: '', authority: 'a.example', path: '/usual/x', workMs: WORK_MS * (0.5 + fleet.random.unit()) })
    fleet.runFor(2_000 * fleet.random.unit() / requestsPerSecond)
  }
  fleet.runFor(3_000)
  return {
    inTime: entry.outcomes.filter(row => row.kind === 'served' && row.endedAt - row.sentAt <= TARGET_MS).length,
    refused: entry.outcomes.filter(row => row.kind === 'refused').length
  }
}

t.test('a more urgent route without requests takes no room from the others', async t => {
  for (const load of [0.7, 1]) {
    const alone = runLoad([route('usual', 2)], load)
    t.same(runLoad([route('usual', 2), route('idle', 0)], load), alone, `load ${load}`)
    t.ok(load === 1 || alone.inTime >= CAPACITY_PER_SECOND * load * LOAD_SECONDS * 0.95, `load ${load}: ${alone.inTime} in time`)
  }
})

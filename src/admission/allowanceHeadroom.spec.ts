import t from 'tap'
import fc from 'fast-check'
import { toId } from '../core/id.js'
import type { WorkspaceId } from '../core/id.js'
import { defaultPolicies } from '../entry/entryWorld.js'
import type { Plan } from '../plan/types.js'
import { ConfigurationBuilder, keyDigestOf, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { delayByRegion, createLocations } from '../stand-ins/virtualTopology.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { NO_TOLERANCE, withHeadroom } from './allowanceHeadroom.js'
import type { AllowanceTolerance } from './allowanceShare.js'
import { FRUGAL_LENDING, LendingPolicy } from './allowancePolicy.js'

const tolerance: AllowanceTolerance = { windowMs: 5_000, fraction: 0.1, requests: 20 }

t.test('the enlarged rate and burst never allow more than the tolerance in a window', async t => {
  fc.assert(fc.property(fc.double({ min: 0.1, max: 5_000, noNaN: true }), fc.double({ min: 0, max: 5_000, noNaN: true }), fc.double({ min: 0, max: 1, noNaN: true }), fc.nat(500), (rate, burst, fraction, requests) => {
    const larger = withHeadroom({ rate, burst }, { windowMs: 5_000, fraction, requests })
    return larger.rate * 5 + larger.burst <= (rate * 5 + burst) * (1 + fraction) + requests + 1e-6 && larger.rate >= rate && larger.burst >= burst
  }))
  t.same(withHeadroom({ rate: 10, burst: 5 }, NO_TOLERANCE), { rate: 10, burst: 5 })
  t.same(withHeadroom({ rate: Number.POSITIVE_INFINITY, burst: 1 }, tolerance).rate, Number.POSITIVE_INFINITY)
})

/** Rate limit of the workspace, which its callers use up on average, in requests per second. */
const RATE = 6
const DEMAND = 6
/** Fraction of the requests that may be refused although the workspace keeps its limit on average. */
const MAX_REFUSED = 0.001
const DURATION_MS = 20_000

const plan: Plan = {
  version: 1,
  terms: { ...defaultTerms, shiftCap: 0.15, shiftWindowMs: 2_000 },
  routes: [{ route: toId('read'), authority: 'a.example', prefix: '/', repetition: 'idempotent', timeoutMs: 800, targetMs: 300, rank: 0, split: [{ service: toId('s'), weight: 1 }], attempts: 2, isOpen: false, hasAffinity: false, allowedRegions: [] }],
  services: [{ service: toId('s'), healthPath: '/health', connections: 100, warmup: { coldMs: 0, ratePerS: 100 } }],
  workspaces: [{ workspace: toId<WorkspaceId>('w'), keys: [keyDigestOf('w')], rank: 0, rate: RATE, burst: RATE, allowedRegions: [] }],
  document: null
}

t.test('a small workspace over nine zones is served within the tolerance and never beyond it', async t => {
  const locations = createLocations(['n', 'm', 's'], 3, 2)
  const served: Record<string, number> = {}
  for (const [name, applied] of [['limit alone', undefined], ['tolerance', tolerance]] as const) {
    const fleet = new VirtualFleet(8)
    fleet.network.delay = delayByRegion(55)
    const entry = new VirtualEntry(fleet, locations, new ConfigurationBuilder().run({ kind: 'put-plan', plan }).snapshot(), () => ({ ...defaultPolicies(), allowance: new LendingPolicy(FRUGAL_LENDING), tolerance: applied }))
    for (const zone of ['n1', 'm1', 's1']) entry.addServer('s', `server-${zone}`, zone, 200, 20)
    fleet.runFor(8_000)
    const until = fleet.now + DURATION_MS
    while (fleet.now < until) {
      entry.send(locations[fleet.random.below(locations.length)]?.host ?? '', { service: 's', workspace: 'w', authority: 'a.example' })
      fleet.runFor(2_000 * fleet.random.unit() / DEMAND)
    }
    fleet.runFor(2_000)
    served[name] = entry.outcomes.filter(row => row.kind === 'served').length / entry.sentCount
    const times = entry.admissions.map(row => row.admittedAt).sort((a, b) => a - b)
    for (const [position, at] of times.entries()) {
      const inWindow = times.filter((other, index) => index >= position && other < at + tolerance.windowMs).length
      if (inWindow > (RATE * 5 + RATE) * 1.1 + 20) t.fail(`${inWindow} requests in a window`)
    }
  }
  t.ok((served.tolerance ?? 0) >= 1 - MAX_REFUSED, JSON.stringify(served))
  t.ok((served['limit alone'] ?? 1) < 1 - MAX_REFUSED, JSON.stringify(served))
})

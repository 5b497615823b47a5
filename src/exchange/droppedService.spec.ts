import t from 'tap'
import { toId } from '../core/id.js'
import type { HostId } from '../core/id.js'
import { ExpectedLatency } from '../backend-choice/backendChoice.js'
import { defaultPolicies } from '../entry/entryWorld.js'
import type { Plan, Route } from '../plan/types.js'
import { FleetRetryBudget } from '../retry-budget/retryBudget.js'
import { ConfigurationBuilder, defaultTerms, keyDigestOf } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { createLocations } from '../stand-ins/virtualTopology.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'

// Guards against requests that are never answered because a plan has removed the service whose queue they wait in.

const locations = createLocations(['n'], 1, 1)
const HOST = toId<HostId>('n1-1')
const TIMEOUT_MS = 3_000
/** A request has its final answer this long after its timeout. */
const ANSWER_SLACK_MS = 500

const planOf = (version: number, services: readonly string[], routes: Readonly<Record<string, string>>, rate = 0): Plan => ({
  version,
  terms: defaultTerms,
  routes: Object.entries(routes).map(([name, service]): Route => ({
    route: toId(name), authority: 'a.example', prefix: `/${name}/`, repetition: name === 'write' ? 'at-most-once' : 'idempotent', timeoutMs: TIMEOUT_MS, targetMs: TIMEOUT_MS, rank: 0, split: [{ service: toId(service), weight: 1 }], attempts: 3, isOpen: false, hasAffinity: false, allowedRegions: []
  })),
  services: services.map(service => ({ service: toId(service), healthPath: '/health', connections: 10, warmup: { coldMs: 0, ratePerS: 100 } })),
  workspaces: [{ workspace: toId('w'), keys: [keyDigestOf('w')], rank: 0, rate, burst: rate, allowedRegions: [] }],
  document: null
})

class Fixture {
  readonly fleet: VirtualFleet
  readonly entry: VirtualEntry
  #index: number

  constructor (seed: number, rate = 0) {
    this.fleet = new VirtualFleet(seed)
    const snapshot = new ConfigurationBuilder().hosts(locations).run({ kind: 'put-plan', plan: planOf(1, ['s', 't'], { read: 's', write: 's', other: 't' }, rate) }).snapshot()
    this.#index = snapshot.index
    this.entry = new VirtualEntry(this.fleet, locations, snapshot, () => ({ ...defaultPolicies(), choice: new ExpectedLatency(), retries: new FleetRetryBudget({ ratio: 1, slack: 100 }) }))
    for (const name of ['one', 'two']) this.entry.addServer('s', name, 'n1', 1, 400)
    this.entry.addServer('t', 'three', 'n1', 4, 20)
    this.fleet.runFor(3_000)
  }

  put (plan: Plan): void {
    this.#index += 1
    const change = { index: this.#index, envelope: { requestId: toId('r'), operator: toId('o'), roles: ['assign'], command: { kind: 'put-plan', plan } } }
    this.fleet.push(HOST, { kind: 'message', from: toId('c1'), message: { kind: 'rumors', rumors: [{ topic: 'change', change }] } })
  }

  send (count: number, path: string): void {
    for (let n = 0; n < count; n += 1) this.entry.send(HOST, { service: 's', workspace: 'w', authority: 'a.example', path, timeoutMs: TIMEOUT_MS })
  }

  /** Requests without an answer, and with one that came too late. */
  faults (): { unanswered: number, late: number } {
    const late = this.entry.outcomes.filter(row => row.endedAt - row.sentAt > TIMEOUT_MS + ANSWER_SLACK_MS).length
    return { unanswered: this.entry.sentCount - this.entry.outcomes.length, late }
  }
}

const dropped = planOf(2, ['t'], { read: 't', other: 't' })

for (const seed of [1, 2, 3, 4, 5, 6]) {
  t.test(`requests that wait for a service are answered when a plan removes it (seed ${seed})`, async t => {
    const fixture = new Fixture(seed)
    fixture.send(6 + seed, '/read/1')
    fixture.send(seed, '/write/1')
    fixture.fleet.runFor(seed * 50)
    const waiting = fixture.entry.sentCount - fixture.entry.outcomes.length
    fixture.put(dropped)
    fixture.fleet.runFor(50)
    const refusals = fixture.entry.outcomes.filter(row => row.reason === 'service-removed')
    t.ok(refusals.length >= waiting - 2 - fixture.entry.outcomes.filter(row => row.kind === 'served').length, `${refusals.length} of ${waiting} are refused at once`)
    t.ok(refusals.every(row => row.ran === 'not-run'), 'and have not run')
    fixture.fleet.runFor(6_000)
    t.same(fixture.faults(), { unanswered: 0, late: 0 })
    fixture.send(3, '/read/1')
    fixture.fleet.runFor(1_000)
    t.same(fixture.entry.outcomes.slice(-3).map(row => row.kind), ['served', 'served', 'served'], 'the new service of the route serves')
  })
}

t.test('an attempt that fails after its service was removed is not queued for good', async t => {
  const fixture = new Fixture(11)
  for (const name of ['one', 'two']) {
    const server = fixture.entry.servers.get(name)
    if (server !== undefined) server.scriptAttempt = () => ({ afterMs: 300, result: { kind: 'lost', reason: 'ECONNRESET' } })
  }
  fixture.send(2, '/read/1')
  fixture.send(2, '/write/1')
  fixture.fleet.runFor(100)
  fixture.put(dropped)
  fixture.fleet.runFor(6_000)
  t.same(fixture.faults(), { unanswered: 0, late: 0 })
  const begun = fixture.entry.outcomes.filter(row => row.sentAt + 300 <= row.endedAt)
  t.ok(begun.length > 0 && begun.every(row => row.ran === 'unknown'), 'none that may have run is said not to have run')
})

t.test('requests that are held for their rate are answered when a plan removes their service', async t => {
  const fixture = new Fixture(12, 5)
  fixture.send(12, '/read/1')
  fixture.fleet.runFor(20)
  fixture.put(planOf(2, ['t'], { other: 't' }, 5))
  fixture.fleet.runFor(6_000)
  t.same(fixture.faults(), { unanswered: 0, late: 0 })
})

t.test('a service that is removed and added again serves once more', async t => {
  const fixture = new Fixture(13)
  fixture.send(8, '/read/1')
  fixture.fleet.runFor(30)
  fixture.put(dropped)
  fixture.fleet.runFor(20)
  fixture.put(planOf(3, ['s', 't'], { read: 's', write: 's', other: 't' }))
  fixture.fleet.runFor(3_000)
  t.same(fixture.faults(), { unanswered: 0, late: 0 })
  fixture.send(2, '/read/1')
  fixture.fleet.runFor(2_000)
  t.same(fixture.entry.outcomes.slice(-2).map(row => row.kind), ['served', 'served'])
})

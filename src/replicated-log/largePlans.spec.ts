import t from 'tap'
import { toId } from '../core/id.js'
import type { HostId, OperatorId, RequestId } from '../core/id.js'
import { MAX_RECENT_CHANGES_BYTES, RecentChanges } from '../configuration/recentChanges.js'
import type { Change, CommandEnvelope } from '../configuration/types.js'
import type { ControlTables } from '../control/types.js'
import { estimatePlanBytes } from '../plan/planSize.js'
import type { Plan } from '../plan/types.js'
import { defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualControl } from '../stand-ins/virtualControl.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'

// Guards against control hosts that run out of memory because their log keeps hundreds of large plans.

const NAMES = ['c1', 'c2', 'c3', 'c4', 'c5']
/** Memory that control may take of a host, in bytes. */
const MAX_CONTROL_BYTES = 64 * 1024 * 1024

const planOf = (version: number, routes: number): Plan => ({
  version,
  terms: defaultTerms,
  routes: Array.from({ length: routes }, (_, n) => ({
    route: toId(`r${n}`), authority: 'a.example', prefix: `/p${n}/`, repetition: 'idempotent' as const, timeoutMs: 1_000, targetMs: 300, rank: 1, split: [{ service: toId('s'), weight: 1 }], attempts: 2, isOpen: false, hasAffinity: true, allowedRegions: []
  })),
  services: [{ service: toId('s'), healthPath: '/health', connections: 10, warmup: { coldMs: 1_000, ratePerS: 5 } }],
  workspaces: [],
  document: `${version} `.padEnd(routes * 270, '.')
})

const putPlan = (plan: Plan): CommandEnvelope => ({
  requestId: toId<RequestId>(`put-${plan.version}`), operator: toId<OperatorId>('o'), roles: ['assign'], command: { kind: 'put-plan', plan }
})

const plansOf = ({ log, recentChanges, rumors, replica, configuration }: ControlTables): Set<Plan> => {
  const plans = new Set<Plan>()
  const addFrom = (envelope: CommandEnvelope | null): void => { if (envelope?.command.kind === 'put-plan') plans.add(envelope.command.plan) }
  for (const { payload } of log.rows()) if (payload.kind === 'command') addFrom(payload.envelope)
  for (const { rumor } of rumors.rows()) if (rumor.topic === 'change') addFrom(rumor.change.envelope)
  for (let index = configuration.index; index > 0; index -= 1) {
    const changes = recentChanges.after(index - 1)
    if (changes === null) break
    addFrom(changes[0]?.envelope ?? null)
  }
  for (const plan of [configuration.plan, replica.snapshot?.configuration.plan]) if (plan != null) plans.add(plan)
  return plans
}

const retainedBytes = (tables: ControlTables): number => {
  let bytes = 0
  for (const plan of plansOf(tables)) bytes += estimatePlanBytes(plan)
  return bytes
}

interface Load { readonly seed: number, readonly changes: number, readonly gapMs: number, readonly routes: (n: number) => number }

/** Changes the plan again and again while hosts stop and return; returns the largest number of bytes that a host has kept. */
const run = ({ seed, changes, gapMs, routes }: Load): { peak: number, acknowledged: number, versions: unknown[] } => {
  const fleet = new VirtualFleet(seed)
  fleet.network.delay = () => 20
  const control = new VirtualControl(fleet, NAMES)
  fleet.runFor(4_000)
  let peak = 0
  let acknowledged = 0
  const measure = (): void => {
    for (const name of control.hosts) {
      if (fleet.nodes.get(name)?.isDown === false) peak = Math.max(peak, retainedBytes(control.tables(name)))
    }
  }
  for (let version = 1; version <= changes; version += 1) {
    const [leader] = control.leaders()
    if (version % 23 === 0) control.restart(control.hosts[version % NAMES.length] as HostId, 700, 2_000)
    if (leader === undefined) {
      fleet.runFor(gapMs)
      continue
    }
    const call = control.propose(leader, putPlan(planOf(version, routes(version))))
    fleet.runFor(gapMs)
    measure()
    const answer = control.proposalAnswers.get(call)
    if (answer?.error === null) acknowledged = version
  }
  fleet.runFor(6_000)
  for (const name of control.hosts) control.kill(name)
  fleet.runFor(500)
  for (const name of control.hosts) control.start(name)
  fleet.runFor(8_000)
  measure()
  return { peak, acknowledged, versions: control.hosts.map(name => control.tables(name).configuration.plan?.version) }
}

const LOADS: readonly Load[] = [
  { seed: 1, changes: 160, gapMs: 220, routes: () => 1_700 },
  { seed: 2, changes: 300, gapMs: 110, routes: () => 900 },
  { seed: 3, changes: 60, gapMs: 400, routes: n => n * 100 },
  { seed: 4, changes: 90, gapMs: 150, routes: n => n % 7 === 0 ? 6_000 : 40 },
  { seed: 5, changes: 200, gapMs: 60, routes: n => (n * 7_919) % 3_000 }
]

for (const load of LOADS) {
  t.test(`the memory of ${load.changes} plans, one each ${load.gapMs} ms (seed ${load.seed}), is bounded, and none that was acknowledged is lost`, async t => {
    const { peak, acknowledged, versions } = run(load)
    t.ok(peak <= MAX_CONTROL_BYTES, `${Math.round(peak / 1024 / 1024)} MB at most`)
    t.ok(acknowledged > load.changes / 2, `change ${acknowledged} is acknowledged`)
    for (const version of versions) t.ok(Number(version) >= acknowledged, `version ${String(version)} is in force`)
  })
}

t.test('a leader that is cut off refuses further plans instead of keeping them all', async t => {
  const fleet = new VirtualFleet(6)
  const control = new VirtualControl(fleet, NAMES)
  fleet.runFor(4_000)
  const leader = control.leaders()[0] as HostId
  fleet.network.isPartitioned = (from, to) => from === leader || to === leader
  const calls = Array.from({ length: 40 }, (_, n) => control.propose(leader, putPlan(planOf(n + 1, 3_000))))
  fleet.runFor(200)
  const full = calls.filter(call => control.proposalAnswers.get(call)?.error?.kind === 'log-full')
  t.ok(full.length >= 20, `${full.length} of ${calls.length} are refused`)
  t.ok(retainedBytes(control.tables(leader)) <= MAX_CONTROL_BYTES)
  fleet.network.isPartitioned = () => false
  fleet.runFor(6_000)
  const [next] = control.leaders()
  const call = control.propose(next as HostId, putPlan(planOf(100, 3_000)))
  fleet.runFor(1_000)
  t.equal(control.proposalAnswers.get(call)?.error, null, 'plans are accepted again')
})

t.test('recent changes are bounded by their size and stay consecutive', async t => {
  const recent = new RecentChanges()
  const changeOf = (index: number, routes: number): Change => ({ index, envelope: putPlan(planOf(index, routes)) })
  for (let index = 1; index <= 300; index += 1) {
    recent.add(changeOf(index, (index * 37) % 200))
    t.ok(recent.bytes <= MAX_RECENT_CHANGES_BYTES)
  }
  t.same(recent.after(299)?.map(change => change.index), [300])
  t.equal(recent.after(200), null)
  recent.add(changeOf(301, 5_000))
  t.equal(recent.after(300), null, 'a change that is too large is sent as a snapshot')
  recent.add(changeOf(302, 10))
  t.same(recent.after(301)?.map(change => change.index), [302])
})

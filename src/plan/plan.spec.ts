import t from 'tap'
import { toId } from '../core/id.js'
import { SeededRandom } from '../core/random.js'
import { applyChange } from '../configuration/applyChange.js'
import { createConfiguration, installSnapshot, takeSnapshot } from '../configuration/configurationTables.js'
import type { Command } from '../configuration/types.js'
import { pickSplitPart, findConstraints, findDestination } from '../exchange/destination.js'
import type { RequestReceived } from '../exchange/types.js'
import { defaultTerms } from '../stand-ins/configurationBuilder.js'
import { checkPlan } from './planCheck.js'
import { changeWithoutDocument, snapshotWithoutDocument } from './planDocument.js'
import { RouteTable } from './routeTable.js'
import type { Plan, Route } from './types.js'

const route = (name: string, prefix: string, changes: Partial<Route> = {}): Route => ({
  route: toId(name), authority: 'a.example', prefix, repetition: 'idempotent', timeoutMs: 1_000, targetMs: 300, rank: 1, split: [{ service: toId('s'), weight: 1 }], attempts: 2, isOpen: false, hasAffinity: true, allowedRegions: [], ...changes
})

const plan = (version: number, changes: Partial<Plan> = {}): Plan => ({
  version,
  terms: defaultTerms,
  routes: [route('r', '/a/')],
  services: [{ service: toId('s'), healthPath: '/health', connections: 10, warmup: { coldMs: 1_000, ratePerS: 5 } }],
  workspaces: [{ workspace: toId('w'), keys: [toId('digest-1'), toId('digest-2')], rank: 2, rate: 10, burst: 20, allowedRegions: [] }],
  document: `text ${version}`,
  ...changes
})

const run = (configuration: ReturnType<typeof createConfiguration>, command: Command): unknown =>
  applyChange(configuration, { index: configuration.index + 1, envelope: { requestId: toId('same'), operator: toId('operator'), roles: ['assign'], command } })

t.test('matches the longest prefix of the authority', async t => {
  const table = new RouteTable()
  table.replace([route('short', '/a/'), route('long', '/a/b/'), route('other', '/a/', { authority: 'b.example' })])
  t.same(['/a/x', '/a/b/x?q=/a/', '/a/b', '/c/', '/a'].map(path => table.find('a.example', path)?.route ?? null), ['short', 'long', 'short', null, null])
  t.equal(table.find('b.example', '/a/b/')?.route, 'other')
  t.equal(table.find('c.example', '/a/'), undefined)
})

t.test('the highest plan version is in force, and keys and services that it does not contain are removed', async t => {
  const configuration = createConfiguration()
  run(configuration, { kind: 'put-plan', plan: plan(4) })
  const older = run(configuration, { kind: 'put-plan', plan: plan(3, { routes: [] }) })
  const other = run(configuration, { kind: 'put-plan', plan: plan(4, { routes: [] }) })
  t.matchSnapshot({ older, other, document: configuration.plan?.document, keys: [...configuration.keys.rows()], services: [...configuration.services.rows()] })
  run(configuration, { kind: 'put-plan', plan: plan(9, { workspaces: [{ workspace: toId('w'), keys: [toId('digest-2')], rank: 0, rate: 0, burst: 0, allowedRegions: [] }] }) })
  t.equal(configuration.keys.has(toId('digest-1')), false)
  t.equal(configuration.records.size, 0, 'no outcome is stored for an idempotent command')
  const copy = createConfiguration()
  installSnapshot(copy, snapshotWithoutDocument(takeSnapshot(configuration)))
  t.equal(copy.routes.find('a.example', '/a/1')?.route, 'r')
  t.equal(copy.plan?.document, null)
})

t.test('removes the plan document from a change', async t => {
  const sent = changeWithoutDocument({ index: 1, envelope: { requestId: toId('r'), operator: toId('o'), roles: [], command: { kind: 'put-plan', plan: plan(1) } } })
  t.equal(sent.envelope?.command.kind === 'put-plan' ? sent.envelope.command.plan.document : 'missing', null)
})

t.test('rejects invalid plans', async t => {
  t.matchSnapshot([
    checkPlan(plan(1, { routes: [route('r', 'a/')] })),
    checkPlan(plan(1, { routes: [route('r', '/a/', { split: [] })] })),
    checkPlan(plan(1, { routes: [route('r', '/a/'), route('q', '/a/')] })),
    checkPlan(plan(1, { routes: [route('r', '/a/'), route('r', '/b/')] }))
  ].map(outcome => outcome.tag === 'error' ? outcome.error : 'accepted'))
})

t.test('draws services in proportion to the weights of a split', async t => {
  const random = new SeededRandom(3)
  const split = [{ service: toId<Route['split'][number]['service']>('x'), weight: 90 }, { service: toId<Route['split'][number]['service']>('y'), weight: 10 }]
  let drawn = 0
  for (let count = 0; count < 2_000; count += 1) {
    if (pickSplitPart(split, random)?.service === 'y') drawn += 1
  }
  t.ok(drawn > 150 && drawn < 250, `${drawn} of 2000`)
})

t.test('allows only regions that both the route and the workspace allow', async t => {
  const configuration = createConfiguration()
  run(configuration, { kind: 'put-plan', plan: plan(1, { routes: [route('r', '/a/', { allowedRegions: [toId('n'), toId('s')] })] }) })
  const request = { target: { kind: 'route', authority: 'a.example' }, path: '/a/1', affinity: 'object' } as unknown as RequestReceived
  const destination = findDestination(configuration, new SeededRandom(1), request)
  if (typeof destination === 'string') throw new Error(destination)
  const workspace = configuration.workspaces.get(toId('w'))
  if (workspace === undefined) throw new Error('no workspace')
  t.matchSnapshot({
    routeOnly: findConstraints(destination, workspace, request),
    both: findConstraints(destination, { ...workspace, allowedRegions: [toId('s'), toId('m')] }, request),
    apart: findConstraints(destination, { ...workspace, allowedRegions: [toId('m')] }, request)
  })
})

import t from 'tap'
import { toId } from '../core/id.js'
import type { Plan } from '../plan/types.js'
import { defaultPolicies } from '../entry/entryWorld.js'
import { ExpectedLatency } from '../backend-choice/backendChoice.js'
import { FleetRetryBudget } from '../retry-budget/retryBudget.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { createLocations } from '../stand-ins/virtualTopology.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'

const locations = createLocations(['n'], 1, 1)

const plan: Plan = {
  version: 1,
  terms: defaultTerms,
  routes: [
    { route: toId('read'), authority: 'a.example', prefix: '/read/', repetition: 'idempotent', timeoutMs: 2_000, targetMs: 300, rank: 0, split: [{ service: toId('s'), weight: 1 }], attempts: 2, isOpen: true, hasAffinity: true, allowedRegions: [] },
    { route: toId('write'), authority: 'a.example', prefix: '/write/', repetition: 'at-most-once', timeoutMs: 2_000, targetMs: 300, rank: 0, split: [{ service: toId('s'), weight: 1 }], attempts: 2, isOpen: true, hasAffinity: true, allowedRegions: [] }
  ],
  services: [{ service: toId('s'), healthPath: '/health', connections: 10, warmup: { coldMs: 0, ratePerS: 100 } }],
  workspaces: [],
  document: null
}

const build = (seed: number): { fleet: VirtualFleet, entry: VirtualEntry } => {
  const fleet = new VirtualFleet(seed)
  const snapshot = new ConfigurationBuilder().run({ kind: 'put-plan', plan }).snapshot()
  const entry = new VirtualEntry(fleet, locations, snapshot, () => ({ ...defaultPolicies(), choice: new ExpectedLatency(), retries: new FleetRetryBudget({ ratio: 0.5, slack: 20 }) }))
  for (const name of ['one', 'two']) entry.addServer('s', name, 'n1', 4, 50).reportsLoad = true
  fleet.runFor(6_000)
  return { fleet, entry }
}

const send = (entry: VirtualEntry, path: string, affinity: string): void => { entry.send('n1-1', { service: 's', workspace: '', authority: 'a.example', path, affinity }) }

t.test('only idempotent requests are moved from a server that stops answering to another one', async t => {
  const { fleet, entry } = build(1)
  for (let count = 0; count < 40; count += 1) {
    send(entry, '/read/1', `object-${count}`)
    fleet.runFor(40)
  }
  const silent = entry.servers.get('one')
  if (silent === undefined) throw new Error('no server')
  silent.scriptAttempt = () => ({ afterMs: 1_000_000, result: { kind: 'lost', reason: 'never' } })
  const firstOutcome = entry.outcomes.length
  for (let count = 0; count < 80; count += 1) {
    send(entry, count % 4 === 3 ? '/write/1' : '/read/1', `object-${count}`)
    fleet.runFor(40)
  }
  fleet.runFor(5_000)
  const after = entry.outcomes.slice(firstOutcome)
  const servedOrNotRun = after.filter(row => row.kind === 'served' || row.ran === 'not-run').length
  const unknown = after.filter(row => row.ran === 'unknown').length
  t.ok(servedOrNotRun + unknown >= 70, 'requests are served or refused')
  t.ok(after.filter(row => row.kind === 'served').length >= 60, 'most requests are served by the other server')
  t.ok(silent.startedCount <= 40, 'the silent server soon gets no new requests')
})

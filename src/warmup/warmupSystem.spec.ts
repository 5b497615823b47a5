import t from 'tap'
import { toId } from '../core/id.js'
import type { ZoneId } from '../core/id.js'
import { applyChange } from '../configuration/applyChange.js'
import type { Command } from '../configuration/types.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { delayByRegion, createLocations } from '../stand-ins/virtualTopology.js'
import type { Plan } from '../plan/types.js'
import { ExpectedLatency } from '../backend-choice/backendChoice.js'
import { defaultPolicies } from '../entry/entryWorld.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'

const RATE = 16
const MAX_PER_SECOND = RATE * 1.5 + 5

const plan: Plan = {
  version: 1,
  terms: { ...defaultTerms, shiftCap: 0.1, shiftWindowMs: 2_000 },
  routes: [{ route: toId('read'), authority: 'a.example', prefix: '/', repetition: 'idempotent', timeoutMs: 2_000, targetMs: 300, rank: 0, split: [{ service: toId('s'), weight: 1 }], attempts: 2, isOpen: true, hasAffinity: true, allowedRegions: [] }],
  services: [{ service: toId('s'), healthPath: '/health', connections: 100, warmup: { coldMs: 3_000, ratePerS: RATE } }],
  workspaces: [],
  document: null
}

t.test('after an evacuation the servers of the zone get no more than the warm-up rate', async t => {
  const locations = createLocations(['n', 'm'], 2, 4)
  const fleet = new VirtualFleet(4)
  fleet.network.delay = delayByRegion(30)
  const entry = new VirtualEntry(fleet, locations, new ConfigurationBuilder().run({ kind: 'put-plan', plan }).snapshot(), () => ({ ...defaultPolicies(), choice: new ExpectedLatency() }))
  for (const zone of ['n1', 'n2', 'm1', 'm2']) entry.addServer('s', `server-${zone}`, zone, 6, 60).reportsLoad = true
  fleet.runFor(8_000)
  const applyCommand = (command: Command): void => {
    for (const location of locations) {
      const { configuration } = entry.tables(location.host)
      applyChange(configuration, { index: configuration.index + 1, envelope: { requestId: toId('r'), operator: toId('o'), roles: ['assign'], command } })
    }
  }
  const server = entry.servers.get('server-n1')
  const starts: number[] = []
  const runLoad = (millis: number): void => {
    for (let at = 0; at < millis; at += 4) {
      const before = server?.startedCount ?? 0
      entry.send(locations[(at / 4) % locations.length]?.host ?? '', { service: 's', workspace: '', authority: 'a.example', affinity: `o${at % 40}` })
      fleet.runFor(4)
      for (let count = before; count < (server?.startedCount ?? 0); count += 1) starts.push(fleet.now)
    }
  }
  const zone = toId<ZoneId>('n1')
  runLoad(1_000)
  applyCommand({ kind: 'start-evacuation', zone })
  runLoad(2_000)
  const during = starts.filter(at => at > fleet.now - 1_900).length
  applyCommand({ kind: 'end-evacuation', zone })
  const endedAt = fleet.now
  runLoad(2_000)
  let peakPerSecond = 0
  for (const at of starts) {
    if (at > endedAt) peakPerSecond = Math.max(peakPerSecond, starts.filter(other => other >= at && other < at + 1_000).length)
  }
  t.equal(during, 0, 'no requests during the evacuation')
  t.ok(peakPerSecond > 0 && peakPerSecond <= MAX_PER_SECOND, `${peakPerSecond} in one second`)
})

import t from 'tap'
import { toId } from '../core/id.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { createLocations } from '../stand-ins/virtualTopology.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import type { Plan } from '../plan/types.js'
import { MAX_DECISION_LAG_MS, checkRequest } from './requestSystem.js'
import type { RequestReceived } from './types.js'

const locations = createLocations(['n'], 1, 1)

const plan: Plan = {
  version: 1,
  terms: defaultTerms,
  routes: [{ route: toId('read'), authority: 'a.example', prefix: '/', repetition: 'idempotent', timeoutMs: 2_000, targetMs: 300, rank: 0, split: [{ service: toId('s'), weight: 1 }], attempts: 2, isOpen: true, hasAffinity: true, allowedRegions: [] }],
  services: [{ service: toId('s'), healthPath: '/health', connections: 10, warmup: { coldMs: 0, ratePerS: 100 } }],
  workspaces: [],
  document: null
}

t.test('a host that is short of CPU time refuses new requests at once', async t => {
  const fleet = new VirtualFleet(1)
  const entry = new VirtualEntry(fleet, locations, new ConfigurationBuilder().run({ kind: 'put-plan', plan }).snapshot())
  fleet.runFor(1_000)
  const request = { kind: 'request', exchange: toId('x'), target: { kind: 'route', authority: 'a.example' }, path: '/1', method: 'GET', key: null, affinity: null, timeoutMs: null, fingerprint: '', replayable: true, idempotencyKey: null, ticketAgeMs: null } as unknown as RequestReceived
  const resultAfter = (lagMs: number): string => {
    const result = checkRequest({ tables: entry.tables('n1-1'), random: fleet.random, now: fleet.now }, { ...request, readAt: fleet.now - lagMs })
    return typeof result === 'string' ? result : 'admitted'
  }
  t.matchSnapshot({ atOnce: resultAfter(0), atTheLimit: resultAfter(MAX_DECISION_LAG_MS), behind: resultAfter(MAX_DECISION_LAG_MS + 1), late: checkRequest({ tables: entry.tables('n1-1'), random: fleet.random, now: fleet.now }, { ...request, readAt: fleet.now, isLate: true }) })
})

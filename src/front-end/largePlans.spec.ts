import t from 'tap'
import { toId } from '../core/id.js'
import type { HostId, OperatorId, RequestId } from '../core/id.js'
import { AutomaticAdmission } from '../replicated-log/replicaAdmission.js'
import type { Plan, Route } from '../plan/types.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualControl } from '../stand-ins/virtualControl.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { createLocations } from '../stand-ins/virtualTopology.js'
import { MAX_MESSAGE_BYTES, encodeFrame } from './linkCodec.js'

const ROUTES = 1_500
const CHANGES = 60
const DOCUMENT = 'x'.repeat(300 * ROUTES)

const route = (number: number): Route => ({ route: toId(`route-${number}`), authority: `host-${number}.example`, prefix: `/path-${number}/more/`, repetition: 'idempotent', timeoutMs: 800, targetMs: 300, rank: 1, split: [{ service: toId('s'), weight: 1 }], attempts: 2, isOpen: false, hasAffinity: true, allowedRegions: [] })
const routes = Array.from({ length: ROUTES }, (_, number) => route(number))
const plan = (version: number): Plan => ({ version, terms: defaultTerms, routes, services: [{ service: toId('s'), healthPath: '/health', connections: 100, warmup: { coldMs: 0, ratePerS: 100 } }], workspaces: [], document: DOCUMENT })

t.test('hosts that missed a series of large plans catch up with messages that links accept', async t => {
  const fleet = new VirtualFleet(1)
  const control = new VirtualControl(fleet, ['n1-a', 'n1-b', 'n1-c'], { admission: () => new AutomaticAdmission(), dissemination: 'tiered', zoneOf: () => 'n1' })
  const seeds = control.hosts.map(host => ({ host, link: { address: host, port: 1 } }))
  const locations = createLocations(['n'], 1, 2)
  const entry = new VirtualEntry(fleet, [], { ...new ConfigurationBuilder().snapshot(), index: 0 }, undefined, 'tiered', seeds)
  for (const location of locations) entry.startHost(location, false)
  fleet.runFor(6_000)
  const missing = [toId<HostId>('n1-1'), ...control.hosts.filter(host => !control.leaders().includes(host)).slice(0, 1)]
  fleet.network.isPartitioned = (from, to) => missing.includes(from) || missing.includes(to)
  const [leader] = control.leaders()
  if (leader === undefined) throw new Error('no leader')
  for (let version = 1; version <= CHANGES; version += 1) {
    control.propose(leader, { requestId: toId<RequestId>(`r${version}`), operator: toId<OperatorId>('o'), roles: ['assign', 'draft', 'approve'], command: { kind: 'put-plan', plan: plan(version) } })
    fleet.runFor(100)
  }
  let largest = 0
  const send = fleet.send.bind(fleet)
  fleet.send = (from, row) => {
    if (['append', 'changes', 'snapshot', 'install'].includes((row.message as { kind: string }).kind)) largest = Math.max(largest, encodeFrame(row.message).length)
    send(from, row)
  }
  fleet.network.isPartitioned = () => false
  fleet.runFor(8_000)
  t.ok(largest <= MAX_MESSAGE_BYTES, `largest message: ${largest} of ${MAX_MESSAGE_BYTES} bytes`)
  t.equal(entry.tables('n1-1').configuration.plan?.version, CHANGES)
  for (const host of control.hosts) t.equal(control.tables(host).configuration.plan?.version, CHANGES, host)
})

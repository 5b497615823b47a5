import t from 'tap'
import { toId } from '../core/id.js'
import type { HostId, OperatorId, RequestId } from '../core/id.js'
import { SeededRandom } from '../core/random.js'
import { runTick } from '../core/tick.js'
import type { System } from '../core/tick.js'
import { createConfiguration, takeSnapshot } from '../configuration/configurationTables.js'
import type { CommandEnvelope } from '../configuration/types.js'
import { ChangeSeries } from '../stand-ins/changeSeries.js'
import { defaultTerms } from '../stand-ins/configurationBuilder.js'
import { createLogTables } from './replicaTables.js'
import { ReplicationReceiveSystem } from './replicationSystem.js'
import type { LogInput, LogOutput, ReplicaTables } from './replicaSteps.js'
import type { Entry, Group, LogMessage, Replica, ReplicaId } from './types.js'

const [self, leader] = ['a', 'b'].map(name => ({ replica: toId<ReplicaId>(name), host: toId<HostId>(name), link: { address: name, port: 1 } })) as [Replica, Replica]
const group: Group = { voters: [self, leader], learners: [] }

// Guards against a follower that drops entries which it has acknowledged, because a snapshot arrives late.
t.test('a snapshot of a part of the log leaves the entries after it', async t => {
  const entries: Entry[] = [{ index: 1, term: 1, payload: { kind: 'group', group } }]
  for (let index = 2; index <= 5; index += 1) entries.push({ index, term: index < 5 ? 1 : 2, payload: { kind: 'start-of-term' } })
  const lastIndexAfter = (term: number): number => {
    const tables: ReplicaTables = { ...createLogTables(self, { replica: self.replica, term: 2, votedFor: null, snapshot: null, entries }, 0, 10_000), configuration: createConfiguration() }
    const systems = [new ReplicationReceiveSystem()] as Array<System<ReplicaTables, LogInput, LogOutput>>
    const install: LogMessage = { kind: 'install', term: 2, replica: leader.replica, round: 1, snapshot: { index: 3, term, group, configuration: { ...takeSnapshot(createConfiguration()), index: 3 } } }
    runTick({ tables, systems, random: new SeededRandom(1) }, 1, [{ kind: 'message', from: leader.host, message: install }])
    t.equal(tables.configuration.index, 3)
    return tables.log.lastIndex
  }
  t.equal(lastIndexAfter(1), 5, 'the snapshot ends in the same entry: those behind it may be committed')
  t.equal(lastIndexAfter(2), 3, 'the snapshot ends in another entry: those behind it are not committed')
})

/** The last one makes the leader take a snapshot, so that no entry follows it. */
const PLAN_COUNT = 17
const DOCUMENT_BYTES = 500_000

const putPlan = (version: number): CommandEnvelope => ({
  requestId: toId<RequestId>(`put-${version}`),
  operator: toId<OperatorId>('ann'),
  roles: ['assign'],
  command: { kind: 'put-plan', plan: { version, terms: defaultTerms, routes: [], services: [], workspaces: [], document: ''.padEnd(DOCUMENT_BYTES, '.') } }
})

// Guards against a control host that answers a fetch with no changes, because those that it has ended before a snapshot.
t.test('an entry host catches up at a control host that has itself caught up by a snapshot', async t => {
  const series = new ChangeSeries(1, 1)
  const { fleet, control, entry } = series
  series.runFor(1_000, 300)
  const [near, beside] = ['n1-c', 'n1-1'].map(name => toId<HostId>(name)) as [HostId, HostId]
  const isInside = (host: HostId): boolean => host === near || host === beside
  fleet.network.isPartitioned = (from, to) => isInside(from) !== isInside(to)
  fleet.runFor(4_000)
  for (let version = 2; version < 2 + PLAN_COUNT; version += 1) {
    control.propose(control.leaders().find(host => host !== near) as HostId, putPlan(version))
    fleet.runFor(400)
  }
  fleet.network.isPartitioned = (from, to) => (from === beside && to !== near) || (to === beside && from !== near)
  fleet.runFor(4_000)
  t.ok((control.tables(near).replica.snapshot?.index ?? 0) > 0, 'the control host has installed a snapshot')
  t.equal(control.tables(near).configuration.plan?.version, 1 + PLAN_COUNT)
  t.equal(entry.tables(beside).configuration.index, control.tables(near).configuration.index)
})

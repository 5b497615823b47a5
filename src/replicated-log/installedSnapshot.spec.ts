import t from 'tap'
import { toId } from '../core/id.js'
import type { HostId } from '../core/id.js'
import { SeededRandom } from '../core/random.js'
import { runTick } from '../core/tick.js'
import type { System } from '../core/tick.js'
import { createConfiguration, takeSnapshot } from '../configuration/configurationTables.js'
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

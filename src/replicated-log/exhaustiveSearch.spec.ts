import t from 'tap'
import { toId } from '../core/id.js'
import type { HostId, OperatorId, RequestId } from '../core/id.js'
import { SeededRandom } from '../core/random.js'
import { runTick } from '../core/tick.js'
import type { System, World } from '../core/tick.js'
import { createConfiguration } from '../configuration/configurationTables.js'
import { ElectionSystem } from './electionSystem.js'
import { ReplicationReceiveSystem, ReplicationSendSystem } from './replicationSystem.js'
import { appendOwn, quorumSize } from './replicaSteps.js'
import type { LogInput, LogOutput, ReplicaTables } from './replicaSteps.js'
import { createLogTables, foundingImage } from './replicaTables.js'
import type { LogMessage, Replica, ReplicaId } from './types.js'

// Every order of a few steps of three replicas: elections that come due, messages that are delivered or lost,
// one proposal a leader. States are rebuilt by replaying their steps, so that no state needs to be copied.

const REPLICAS: readonly Replica[] = ['a', 'b', 'c'].map(name => ({ replica: toId<ReplicaId>(name), host: toId<HostId>(name), link: { address: name, port: 1 } }))
const ELECTION_DUE = 10_000
const DEPTH = Number(process.env.RHUBARBSEAM_DEPTH ?? 6)

interface Flight { readonly from: HostId, readonly to: HostId, readonly message: LogMessage }
type Step = { readonly kind: 'due', readonly replica: number } | { readonly kind: 'deliver', readonly flight: number } | { readonly kind: 'propose', readonly replica: number }

interface State { readonly worlds: ReadonlyArray<World<ReplicaTables, LogInput, LogOutput>>, flights: Flight[], now: number, proposals: number }

const createState = (): State => ({
  worlds: REPLICAS.map((self, number) => {
    const systems = [new ElectionSystem(), new ReplicationReceiveSystem(), new ReplicationSendSystem()] as Array<System<ReplicaTables, LogInput, LogOutput>>
    const tables = { ...createLogTables(self, foundingImage(self.replica, { voters: REPLICAS, learners: [] }), 0, Number.POSITIVE_INFINITY), configuration: createConfiguration() }
    tables.replica.leaderHeardAt = -ELECTION_DUE
    return { tables, systems, random: new SeededRandom(number) }
  }),
  flights: [],
  now: 0,
  proposals: 0
})

const tickReplica = (state: State, number: number, inbox: readonly LogInput[]): void => {
  const world = state.worlds[number]
  if (world === undefined) return
  const synced: LogInput[] = []
  for (const row of runTick(world, state.now, inbox)) {
    if (row.kind === 'send') state.flights.push({ from: world.tables.replica.self.host, to: row.to, message: row.message })
    else if (row.kind === 'persist') synced.push({ kind: 'persisted', sequence: row.sequence })
  }
  world.tables.replica.electionAt = Number.POSITIVE_INFINITY
  world.tables.replica.nextHeartbeatAt = Number.POSITIVE_INFINITY
  if (synced.length > 0) runTick(world, state.now, synced)
}

const perform = (state: State, step: Step): void => {
  if (step.kind === 'due') {
    // Long after the last word of any leader.
    state.now += ELECTION_DUE
    const tables = state.worlds[step.replica]?.tables
    if (tables !== undefined) tables.replica.electionAt = state.now
    tickReplica(state, step.replica, [])
  } else if (step.kind === 'deliver') {
    const [flight] = state.flights.splice(step.flight, 1)
    if (flight === undefined) return
    const number = REPLICAS.findIndex(row => row.host === flight.to)
    tickReplica(state, number, [{ kind: 'message', from: flight.from, message: flight.message }])
  } else {
    const world = state.worlds[step.replica]
    if (world === undefined) return
    state.proposals += 1
    const tick = { now: state.now, random: world.random, tables: world.tables, inbox: [], emit: () => {} }
    appendOwn(tick, { kind: 'command', envelope: { requestId: toId<RequestId>(`r${state.proposals}`), operator: toId<OperatorId>('x'), roles: [], command: { kind: 'remove-host', host: toId('h') } } })
    tickReplica(state, step.replica, [])
  }
}

const replay = (steps: readonly Step[]): State => {
  const state = createState()
  for (const step of steps) perform(state, step)
  return state
}

const choices = (state: State): Step[] => {
  const steps: Step[] = []
  for (const [number, world] of state.worlds.entries()) {
    if (world.tables.replica.role !== 'leader') steps.push({ kind: 'due', replica: number })
    else if (state.proposals < 2) steps.push({ kind: 'propose', replica: number })
  }
  for (const [number] of state.flights.entries()) steps.push({ kind: 'deliver', flight: number })
  return steps
}

const fingerprint = (state: State): string => JSON.stringify([
  state.worlds.map(({ tables }) => [tables.replica.role, tables.replica.term, tables.replica.votedFor, [...tables.replica.votes], tables.log.rows(), tables.replica.commit, [...tables.followers.rows()].map(row => [row.nextIndex, row.matchIndex])]),
  state.flights.map(flight => JSON.stringify([flight.from, flight.to, flight.message])).sort()
])

// Entries that a quorum holds in the term of a leader are committed whatever comes; a later leader must hold them too.
const committedBy = (state: State): Array<{ index: number, term: number, text: string }> => {
  const committed: Array<{ index: number, term: number, text: string }> = []
  for (const { tables } of state.worlds) {
    if (tables.replica.role !== 'leader') continue
    const matches = [tables.replica.syncedIndex, ...[...tables.followers.rows()].map(row => row.matchIndex)].sort((a, b) => b - a)
    const agreed = matches[quorumSize(tables) - 1] ?? 0
    if (tables.log.termAt(agreed) !== tables.replica.term) continue
    for (const entry of tables.log.rows()) {
      if (entry.index <= agreed) committed.push({ index: entry.index, term: tables.replica.term, text: JSON.stringify(entry) })
    }
  }
  return committed
}

const problemsOf = (state: State, committed: ReadonlyArray<{ index: number, term: number, text: string }>): string[] => {
  const problems: string[] = []
  const leaders = state.worlds.filter(world => world.tables.replica.role === 'leader')
  if (new Set(leaders.map(world => world.tables.replica.term)).size < leaders.length) problems.push('two leaders in one term')
  for (const { tables } of leaders) {
    for (const entry of committed) {
      if (tables.replica.term > entry.term && JSON.stringify(tables.log.get(entry.index)) !== entry.text) problems.push(`a leader of term ${tables.replica.term} lacks entry ${entry.index}`)
    }
  }
  return problems
}

const search = (prefix: readonly Step[], depth: number): { states: number, problems: string[] } => {
  const seen = new Map<string, number>()
  const problems: string[] = []
  let states = 0
  const visit = (steps: readonly Step[], left: number, committed: ReadonlyArray<{ index: number, term: number, text: string }>): void => {
    if (problems.length > 0) return
    const state = replay([...prefix, ...steps])
    states += 1
    const known = [...committed, ...committedBy(state)]
    problems.push(...problemsOf(state, known))
    const key = `${fingerprint(state)} ${JSON.stringify(known)}`
    if (left === 0 || (seen.get(key) ?? -1) >= left) return
    seen.set(key, left)
    for (const step of choices(state)) visit([...steps, step], left - 1, known)
  }
  visit([], depth, [])
  return { states, problems }
}

const electA: readonly Step[] = [
  { kind: 'due', replica: 0 }, // pre-vote requests to b and c
  { kind: 'deliver', flight: 0 }, // b grants
  { kind: 'deliver', flight: 1 }, // a campaigns
  { kind: 'deliver', flight: 1 }, // b votes
  { kind: 'deliver', flight: 2 } // a leads
]

t.test(`every order of ${DEPTH} steps from the start`, async t => {
  const { states, problems } = search([], DEPTH)
  t.same(problems, [])
  t.ok(states > 1_000, `${states} states`)
})

t.test(`every order of ${DEPTH - 1} steps after an election`, async t => {
  const elected = replay(electA)
  t.equal(elected.worlds[0]?.tables.replica.role, 'leader', 'the prefix elects a')
  const { states, problems } = search(electA, DEPTH - 1)
  t.same(problems, [])
  t.ok(states > 500, `${states} states`)
})

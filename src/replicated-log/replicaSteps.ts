/** Operations shared by the systems of the replicated log. */

import type { HostId } from '../core/id.js'
import type { Millis, Tick } from '../core/tick.js'
import type { Configuration } from '../configuration/configurationTables.js'
import { CAMPAIGN_RETRY_MS, ELECTION_TIMEOUT_MS } from './timing.js'
import { latestGroup } from './replicaTables.js'
import type { CommandProposed, DiskRecord, DiskReported, Entry, LogMessage, LogMessageSent, LogTables, Payload, Persisted, PersistRequested, ProposalAnswered, Replica, ReplicaAdmitted, ReplicaId } from './types.js'
import type { MessageReceived } from '../membership/types.js'

export const MAX_ENTRIES_PER_APPEND = 64

/** Tables that the systems of the log use. */
export type ReplicaTables = LogTables & { readonly configuration: Configuration }
/** Inbox rows that the systems of the log handle. */
export type LogInput = MessageReceived<LogMessage> | Persisted | DiskReported | CommandProposed | ReplicaAdmitted
/** Outbox rows that the systems of the log emit. */
export type LogOutput = LogMessageSent | PersistRequested | ProposalAnswered
export type LogTick = Tick<ReplicaTables, LogInput, LogOutput>

/** Draws when to repeat a campaign without a majority; the random delay separates candidates that split the vote. */
export const drawCampaignRetryAt = (tick: LogTick): Millis => tick.now + CAMPAIGN_RETRY_MS + tick.random.below(CAMPAIGN_RETRY_MS)

/** Draws the next election time; the random delay makes simultaneous campaigns rare. */
export const drawElectionAt = (tick: LogTick): Millis => tick.now + ELECTION_TIMEOUT_MS + tick.random.below(ELECTION_TIMEOUT_MS)

/** Returns the number of voters that form a majority. */
export const quorumSize = (tables: LogTables): number => Math.floor(tables.replica.group.voters.length / 2) + 1

/** Whether a replica is a voter of the current group. */
export const isVoter = (tables: LogTables, replica: ReplicaId): boolean =>
  tables.replica.group.voters.some(voter => voter.replica === replica)

/** Returns all other voters and learners of the current group. */
export const otherReplicas = (tables: LogTables): Replica[] => {
  const { group, self } = tables.replica
  return [...group.voters, ...group.learners].filter(row => row.replica !== self.replica)
}

export const sendLogMessage = (tick: LogTick, to: Replica, message: LogMessage, afterSync: boolean): void => {
  tick.emit({ kind: 'send', to: to.host, address: to.link, message, afterSync })
}

/** Finds the replica on a host, so that its message can be answered; also searches the replicas that ask to join. */
export const findReplicaOnHost = (tables: LogTables, host: HostId): Replica | undefined =>
  otherReplicas(tables).find(row => row.host === host) ?? tables.joining.get(host)

const lastIndexOf = (tables: LogTables, record: DiskRecord): number => {
  if (record.kind === 'entries') return record.entries.at(-1)?.index ?? tables.log.lastIndex
  return tables.log.lastIndex
}

/** Emits a request to write and sync a record, and tracks it until it is synced. */
export const persist = (tick: LogTick, record: DiskRecord): void => {
  const replica = tick.tables.replica
  replica.persistSequence += 1
  replica.unsynced.set(replica.persistSequence, lastIndexOf(tick.tables, record))
  tick.emit({ kind: 'persist', record, sequence: replica.persistSequence })
}

/** Persists the current term and vote. */
export const persistVote = (tick: LogTick): void => {
  const { term, votedFor } = tick.tables.replica
  persist(tick, { kind: 'vote', term, votedFor })
}

/** Recomputes the current group after entries were appended or dropped. */
export const refreshGroup = (tables: LogTables): void => {
  tables.replica.group = latestGroup(tables.replica, tables.log.rows())
}

/** Answers all pending calls with `outcome-unknown`: after a loss of leadership their entries may be committed or dropped. */
export const failProposals = (tick: LogTick): void => {
  for (const row of [...tick.tables.proposals.rows()]) {
    tick.tables.proposals.remove(row.index)
    tick.emit({ kind: 'proposal-answer', call: row.call, receipt: null, error: { kind: 'outcome-unknown' } })
  }
  const admission = tick.tables.replica.admission
  if (admission === null) return
  tick.tables.replica.admission = null
  if (admission.call !== null) tick.emit({ kind: 'proposal-answer', call: admission.call, receipt: null, error: { kind: 'outcome-unknown' } })
}

/** Becomes a follower and adopts a newer term; a leader steps down. */
export const becomeFollower = (tick: LogTick, term: number, leader: HostId | null): void => {
  const replica = tick.tables.replica
  if (replica.role === 'leader') failProposals(tick)
  replica.role = 'follower'
  replica.leader = leader
  replica.nextHeartbeatAt = Number.POSITIVE_INFINITY
  replica.electionAt = drawElectionAt(tick)
  if (term <= replica.term) return
  replica.term = term
  replica.votedFor = null
  persistVote(tick)
}

/** Appends and persists an entry in the current term; for leaders only. */
export const appendAsLeader = (tick: LogTick, payload: Payload): Entry => {
  const { log, replica } = tick.tables
  const entry: Entry = { index: log.lastIndex + 1, term: replica.term, payload }
  log.append(entry)
  if (payload.kind === 'group') replica.group = payload.group
  persist(tick, { kind: 'entries', entries: [entry] })
  return entry
}

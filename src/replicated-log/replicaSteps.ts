/** Small steps that the parts of the log protocol share. */

import type { HostId } from '../core/id.js'
import type { Millis, Tick } from '../core/tick.js'
import type { Configuration } from '../configuration/configurationTables.js'
import { CAMPAIGN_RETRY, ELECTION_TIMEOUT_MS } from './timing.js'
import { latestGroup } from './replicaTables.js'
import type { CommandProposed, DiskRecord, Entry, LogMessage, LogMessageSent, LogTables, Payload, Persisted, PersistRequested, ProposalAnswered, Replica, ReplicaAdmitted, ReplicaId } from './types.js'
import type { MessageReceived } from '../membership/types.js'

/** Entries in one append message. */
export const ENTRIES_PER_APPEND = 64

/** Tables that the log protocol works on. */
export type ReplicaTables = LogTables & { readonly configuration: Configuration }
/** Rows that the log protocol takes. */
export type LogInput = MessageReceived<LogMessage> | Persisted | CommandProposed | ReplicaAdmitted
/** Rows that the log protocol gives. */
export type LogOutput = LogMessageSent | PersistRequested | ProposalAnswered
/** One tick as seen by the log protocol. */
export type LogTick = Tick<ReplicaTables, LogInput, LogOutput>

/** Draws the next time for a campaign that has not won; those who campaigned together rarely do so again. */
export const drawCampaignRetryAt = (tick: LogTick): Millis => tick.now + CAMPAIGN_RETRY + tick.random.below(CAMPAIGN_RETRY)

/** Draws the next time for an election; spread out so that replicas rarely campaign together. */
export const drawElectionAt = (tick: LogTick): Millis => tick.now + ELECTION_TIMEOUT_MS + tick.random.below(ELECTION_TIMEOUT_MS)

/** Voters that must agree. */
export const quorumSize = (tables: LogTables): number => Math.floor(tables.replica.group.voters.length / 2) + 1

/** Whether a replica decides in the present group. */
export const isVoter = (tables: LogTables, replica: ReplicaId): boolean =>
  tables.replica.group.voters.some(voter => voter.replica === replica)

/** All other replicas of the group. */
export const otherReplicas = (tables: LogTables): Replica[] => {
  const { group, self } = tables.replica
  return [...group.voters, ...group.learners].filter(row => row.replica !== self.replica)
}

/** Sends a message to a replica's host. */
export const sendLog = (tick: LogTick, to: Replica, message: LogMessage, afterSync: boolean): void => {
  tick.emit({ kind: 'send', to: to.host, address: to.link, message, afterSync })
}

/** Finds the replica that runs on a host, for replies. */
export const replicaAt = (tables: LogTables, host: HostId): Replica | undefined =>
  otherReplicas(tables).find(row => row.host === host) ?? tables.joining.get(host)

const lastIndexOf = (tables: LogTables, record: DiskRecord): number => {
  if (record.kind === 'entries') return record.entries.at(-1)?.index ?? tables.log.lastIndex
  return tables.log.lastIndex
}

/** Asks the edge to write and sync a record. */
export const persist = (tick: LogTick, record: DiskRecord): void => {
  const replica = tick.tables.replica
  replica.persistSequence += 1
  replica.unsynced.set(replica.persistSequence, lastIndexOf(tick.tables, record))
  tick.emit({ kind: 'persist', record, sequence: replica.persistSequence })
}

/** Writes the present term and vote. */
export const persistVote = (tick: LogTick): void => {
  const { term, votedFor } = tick.tables.replica
  persist(tick, { kind: 'vote', term, votedFor })
}

/** Brings the group up to date after the log has changed. */
export const refreshGroup = (tables: LogTables): void => {
  tables.replica.group = latestGroup(tables.replica, tables.log.rows())
}

/** Ends calls whose entries this replica can no longer vouch for. */
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

/** Follows a term; a leader that does so gives up its lead. */
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

/** Appends an entry of the leader's own term. */
export const appendOwn = (tick: LogTick, payload: Payload): Entry => {
  const { log, replica } = tick.tables
  const entry: Entry = { index: log.lastIndex + 1, term: replica.term, payload }
  log.append(entry)
  if (payload.kind === 'group') replica.group = payload.group
  persist(tick, { kind: 'entries', entries: [entry] })
  return entry
}

/** The replicated log on the control hosts: Raft with pre-vote, check quorum, snapshots and single-step member changes. */

import type { HostId, Id } from '../core/id.js'
import type { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'
import type { CommandEnvelope, CommandError, CommandReceipt, ConfigurationSnapshot, LogIndex } from '../configuration/types.js'
import type { Address } from '../core/address.js'
import type { MessageSent } from '../membership/types.js'
import type { LogTable } from './logTable.js'

/** One life of a control host's disk: a host whose disk is lost comes back as another replica. */
export type ReplicaId = Id<'Replica'>
/** One request of an operator at the edge. */
export type CallId = Id<'Call'>

/** A replica with the host that it runs on. */
export interface Replica {
  readonly replica: ReplicaId
  readonly host: HostId
  readonly link: Address
}

/** Who holds the log: voters decide, learners only receive. */
export interface Group {
  readonly voters: readonly Replica[]
  readonly learners: readonly Replica[]
}

/** What an entry of the log does. */
export type Payload =
  | { readonly kind: 'start-of-term' }
  | { readonly kind: 'command', readonly envelope: CommandEnvelope }
  | { readonly kind: 'group', readonly group: Group }

/** One entry of the log. */
export interface Entry {
  readonly index: LogIndex
  readonly term: number
  readonly payload: Payload
}

/** The configuration at an index, in place of the entries up to it. */
export interface LogSnapshot {
  readonly index: LogIndex
  readonly term: number
  readonly group: Group
  readonly configuration: ConfigurationSnapshot
}

/** What must be on disk before anything that depends on it is said. */
export type DiskRecord =
  | { readonly kind: 'vote', readonly term: number, readonly votedFor: ReplicaId | null }
  | { readonly kind: 'entries', readonly entries: readonly Entry[] }
  | { readonly kind: 'snapshot', readonly snapshot: LogSnapshot, readonly kept: readonly Entry[] }

/** What a replica finds on its disk at the start. */
export interface DiskImage {
  readonly replica: ReplicaId
  readonly term: number
  readonly votedFor: ReplicaId | null
  readonly snapshot: LogSnapshot | null
  readonly entries: readonly Entry[]
}

/** Messages between replicas. */
export type LogMessage =
  | { readonly kind: 'vote-request', readonly pre: boolean, readonly term: number, readonly replica: ReplicaId, readonly lastIndex: LogIndex, readonly lastTerm: number }
  | { readonly kind: 'vote-reply', readonly pre: boolean, readonly term: number, readonly replica: ReplicaId, readonly granted: boolean }
  | { readonly kind: 'append', readonly term: number, readonly replica: ReplicaId, readonly round: number, readonly previousIndex: LogIndex, readonly previousTerm: number, readonly entries: readonly Entry[], readonly commit: LogIndex }
  | { readonly kind: 'append-reply', readonly term: number, readonly replica: ReplicaId, readonly round: number, readonly success: boolean, readonly match: LogIndex }
  | { readonly kind: 'install', readonly term: number, readonly replica: ReplicaId, readonly round: number, readonly snapshot: LogSnapshot }
  | { readonly kind: 'join', readonly replica: Replica }

/** A message that leaves only after everything before it is synced. */
export interface LogMessageSent extends MessageSent<LogMessage> {
  readonly afterSync: boolean
}

/** Writes and syncs a record; a failed sync ends the process. */
export interface PersistRequested { readonly kind: 'persist', readonly record: DiskRecord, readonly sequence: number }

/** Everything up to this sequence is synced. */
export interface Persisted { readonly kind: 'persisted', readonly sequence: number }

/** An operator's command for the log. */
export interface CommandProposed { readonly kind: 'propose', readonly call: CallId, readonly envelope: CommandEnvelope }

/** An operator admits a replica that asked to join, in place of its host's lost one. */
export interface ReplicaAdmitted { readonly kind: 'admit', readonly call: CallId, readonly host: HostId }

/** Why a proposal has no outcome from this replica. */
export type ProposalError =
  | { readonly kind: 'not-leader', readonly leader: HostId | null }
  | { readonly kind: 'outcome-unknown' }
  | { readonly kind: 'group-change-running' }
  | { readonly kind: 'no-join-request' }
  | CommandError

/** The answer to an operator's call. */
export interface ProposalAnswered {
  readonly kind: 'proposal-answer'
  readonly call: CallId
  readonly receipt: CommandReceipt | null
  readonly error: ProposalError | null
}

/** A question about the newest configuration, which a quorum must vouch for. */
export interface ReadRequested { readonly kind: 'read', readonly call: CallId }

/** A quorum vouches for what this host holds, or an error says why it cannot be read here. */
export interface ReadAnswered {
  readonly kind: 'read-answer'
  readonly call: CallId
  readonly error: ProposalError | null
}

/** A read that waits for a round. */
export interface ReadRow { readonly call: CallId, readonly askedAt: Millis }

/** A replica outside the group that asks to join. */
export interface JoinRow extends Replica { readonly heardAt: Millis }

/** A proposal that waits for its entry to be committed and applied. */
export interface ProposalRow { readonly index: LogIndex, readonly term: number, readonly call: CallId, readonly proposedAt: Millis }

/** What the leader knows about another replica. */
export interface FollowerRow {
  readonly replica: ReplicaId
  nextIndex: LogIndex
  matchIndex: LogIndex
  /** When the newest round that it answered was sent. */
  ackedRoundSentAt: Millis
  /** Entries are in flight up to this time; then they are sent again. */
  busyUntil: Millis
}

/** A member change that is being carried out: catch up, leave, enter. */
export interface AdmissionOfReplica {
  readonly replica: Replica
  /** The operator's call; null when nobody asked. */
  readonly call: CallId | null
  readonly startedAt: Millis
}

/** One replica's own state. */
export interface ReplicaState {
  readonly self: Replica
  role: 'follower' | 'pre-candidate' | 'candidate' | 'leader'
  term: number
  votedFor: ReplicaId | null
  leader: HostId | null
  commit: LogIndex
  /** When a leader was last heard. */
  leaderHeardAt: Millis
  electionAt: Millis
  nextHeartbeatAt: Millis
  round: number
  /** When each unanswered round was sent. */
  readonly roundSendTimes: Map<number, Millis>
  readonly votes: Set<ReplicaId>
  /** Sequence of the last persist request, and of the last one that is synced. */
  persistSequence: number
  syncedSequence: number
  /** The last index that each unsynced persist request reaches. */
  readonly unsynced: Map<number, LogIndex>
  syncedIndex: LogIndex
  group: Group
  snapshot: LogSnapshot | null
  admission: AdmissionOfReplica | null
  vouchSequence: number
  /** When the next vouch is due. */
  vouchAt: Millis
}

/** Tables of the replicated log. */
export interface LogTables {
  readonly replica: ReplicaState
  readonly log: LogTable<Entry>
  readonly followers: RowTable<ReplicaId, FollowerRow>
  readonly proposals: RowTable<LogIndex, ProposalRow>
  readonly joining: RowTable<HostId, JoinRow>
  readonly reads: RowTable<CallId, ReadRow>
}

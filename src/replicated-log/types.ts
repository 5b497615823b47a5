/** The replicated log on the control hosts: Raft with pre-vote, check-quorum, snapshots and single-step membership changes. */

import type { HostId, Id } from '../core/id.js'
import type { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'
import type { CommandEnvelope, CommandError, CommandReceipt, ConfigurationSnapshot, LogIndex } from '../configuration/types.js'
import type { Address } from '../core/address.js'
import type { MessageSent } from '../membership/types.js'
import type { LogTable } from './logTable.js'

/** Identifies a replica by its disk: a host that loses its disk comes back under a new id and must be admitted again. */
export type ReplicaId = Id<'Replica'>
/** Identifies one call of an operator that waits for an answer. */
export type CallId = Id<'Call'>

/** A replica, the host that it runs on and the address of that host for links. */
export interface Replica {
  readonly replica: ReplicaId
  readonly host: HostId
  readonly link: Address
}

/** Members of the Raft group: voters count for quorums, learners only receive entries. */
export interface Group {
  readonly voters: readonly Replica[]
  readonly learners: readonly Replica[]
}

/** Content of a log entry. */
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

/** State of the configuration at an index; replaces the log entries up to and including that index. */
export interface LogSnapshot {
  readonly index: LogIndex
  readonly term: number
  readonly group: Group
  readonly configuration: ConfigurationSnapshot
}

/**
 * A record that must be synced to disk before any message that depends on it is sent. A snapshot record holds the whole log. If it
 * is a compaction, the records before it say the same, so it may be left out.
 */
export type DiskRecord =
  | { readonly kind: 'vote', readonly term: number, readonly votedFor: ReplicaId | null }
  | { readonly kind: 'entries', readonly entries: readonly Entry[] }
  | { readonly kind: 'snapshot', readonly snapshot: LogSnapshot, readonly kept: readonly Entry[], readonly isCompaction?: boolean }

/** State that a replica reads from its disk at startup. */
export interface DiskImage {
  readonly replica: ReplicaId
  readonly term: number
  readonly votedFor: ReplicaId | null
  readonly snapshot: LogSnapshot | null
  readonly entries: readonly Entry[]
}

/** Raft messages between replicas. `pre` marks messages of the pre-vote phase. */
export type LogMessage =
  | { readonly kind: 'vote-request', readonly pre: boolean, readonly term: number, readonly replica: ReplicaId, readonly lastIndex: LogIndex, readonly lastTerm: number }
  | { readonly kind: 'vote-reply', readonly pre: boolean, readonly term: number, readonly replica: ReplicaId, readonly granted: boolean }
  | { readonly kind: 'append', readonly term: number, readonly replica: ReplicaId, readonly round: number, readonly previousIndex: LogIndex, readonly previousTerm: number, readonly entries: readonly Entry[], readonly commit: LogIndex }
  | { readonly kind: 'append-reply', readonly term: number, readonly replica: ReplicaId, readonly round: number, readonly success: boolean, readonly match: LogIndex }
  | { readonly kind: 'install', readonly term: number, readonly replica: ReplicaId, readonly round: number, readonly snapshot: LogSnapshot }
  | { readonly kind: 'join', readonly replica: Replica }

/** An outgoing message; with `afterSync` it is sent only once all earlier persist requests are synced. */
export interface LogMessageSent extends MessageSent<LogMessage> {
  readonly afterSync: boolean
}

/** Requests that a record is written and synced. A refused write is tried again; a failed sync ends the process. */
export interface PersistRequested { readonly kind: 'persist', readonly record: DiskRecord, readonly sequence: number }

/** Reports that all persist requests up to and including this sequence are synced. */
export interface Persisted { readonly kind: 'persisted', readonly sequence: number }

/** Reports that the disk refuses writes, or takes them again. */
export interface DiskReported { readonly kind: 'disk', readonly isRefusing: boolean }

/** Proposes an operator's command to the log. */
export interface CommandProposed { readonly kind: 'propose', readonly call: CallId, readonly envelope: CommandEnvelope }

/** An operator's call to admit a replica that asked to join; it replaces the earlier replica of the same host. */
export interface ReplicaAdmitted { readonly kind: 'admit', readonly call: CallId, readonly host: HostId }

/** Why this replica cannot report the outcome of a proposal. */
export type ProposalError =
  | { readonly kind: 'not-leader', readonly leader: HostId | null }
  | { readonly kind: 'outcome-unknown' }
  | { readonly kind: 'log-full' }
  | { readonly kind: 'group-change-running' }
  | { readonly kind: 'no-join-request' }
  | CommandError

/** Answers a proposal or an admission. */
export interface ProposalAnswered {
  readonly kind: 'proposal-answer'
  readonly call: CallId
  readonly receipt: CommandReceipt | null
  readonly error: ProposalError | null
}

/** Requests a linearizable read of the configuration (read index). */
export interface ReadRequested { readonly kind: 'read', readonly call: CallId }

/** Answers a read; without an error, a quorum has confirmed that the configuration of this host is the newest. */
export interface ReadAnswered {
  readonly kind: 'read-answer'
  readonly call: CallId
  readonly error: ProposalError | null
}

/** A read that waits until a quorum has acknowledged a round sent after it. */
export interface ReadRow { readonly call: CallId, readonly askedAt: Millis }

/** A replica outside the group that has requested to join. */
export interface JoinRow extends Replica { readonly heardAt: Millis }

/** A proposal that waits for its entry to be committed and applied. */
export interface ProposalRow { readonly index: LogIndex, readonly term: number, readonly call: CallId, readonly proposedAt: Millis }

/** Replication progress of another replica, kept by the leader. */
export interface FollowerRow {
  readonly replica: ReplicaId
  nextIndex: LogIndex
  matchIndex: LogIndex
  /** When the leader first sent to the replica in this term. */
  readonly addedAt: Millis
  /** Send time of the newest round that the replica has acknowledged. */
  ackedRoundSentAt: Millis
  /** Commit index that was last sent to the replica. */
  sentCommit: LogIndex
  /** Entries count as in flight until this time and are resent after it. */
  inFlightUntil: Millis
}

/** An admission in progress: the replica joins as a learner and catches up, its predecessor leaves, then it becomes a voter. */
export interface PendingAdmission {
  readonly replica: Replica
  /** The voter that it replaces; null if the group grows. */
  readonly replaces: Replica | null
  /** Call of the operator to be answered; null for an automatic admission. */
  readonly call: CallId | null
  readonly startedAt: Millis
}

/** Raft state of the local replica. */
export interface ReplicaState {
  readonly self: Replica
  role: 'follower' | 'pre-candidate' | 'candidate' | 'leader'
  term: number
  votedFor: ReplicaId | null
  leader: HostId | null
  commit: LogIndex
  /** When the last valid message of a leader arrived. */
  lastLeaderContactAt: Millis
  /** When the election timer expires. */
  electionAt: Millis
  nextHeartbeatAt: Millis
  round: number
  /** Send times of the latest rounds, by round number. */
  readonly roundSendTimes: Map<number, Millis>
  readonly votes: Set<ReplicaId>
  /** Sequence numbers of the last persist request and of the last one that is synced. */
  persistSequence: number
  syncedSequence: number
  /** Last log index that each unsynced persist request covers, by sequence. */
  readonly unsynced: Map<number, LogIndex>
  syncedIndex: LogIndex
  /** Since when the disk refuses writes; null while it takes them. */
  diskRefusesSince: Millis | null
  group: Group
  snapshot: LogSnapshot | null
  admission: PendingAdmission | null
  vouchSequence: number
  nextVouchAt: Millis
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

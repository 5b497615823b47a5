/** Log replication: the leader sends entries or a snapshot; followers sync them to disk before they reply. */

import { UNKNOWN_ADDRESS } from '../core/address.js'
import type { HostId } from '../core/id.js'
import type { Millis, System } from '../core/tick.js'
import { NEVER } from '../core/tick.js'
import { installSnapshot } from '../configuration/configurationTables.js'
import { countWithin } from './entrySize.js'
import { MAX_ENTRIES_PER_APPEND, becomeFollower, drawElectionAt, isVoter, otherReplicas, persist, quorumSize, refreshGroup, findReplicaOnHost, sendLogMessage } from './replicaSteps.js'
import { ELECTION_TIMEOUT_MS, HEARTBEAT_INTERVAL_MS } from './timing.js'
import type { LogInput, LogOutput, LogTick, ReplicaTables } from './replicaSteps.js'
import type { Entry, FollowerRow, LogMessage, Replica } from './types.js'

type Append = Extract<LogMessage, { kind: 'append' }>
type AppendReply = Extract<LogMessage, { kind: 'append-reply' }>
type Install = Extract<LogMessage, { kind: 'install' }>

/** Entries in flight are resent after this time without a reply. */
const RESEND_TIMEOUT_MS: Millis = 500
/** Entries of one message, as far as they can be divided. */
const MAX_APPEND_BYTES = 2 * 1024 * 1024
/** A learner gets one heartbeat in this many rounds. */
const LEARNER_HEARTBEAT_ROUNDS = 3
/** Rounds whose send time is retained; replies to older rounds confirm nothing. */
const RETAINED_ROUNDS = 64

const followerOf = (tick: LogTick, replica: Replica): FollowerRow => {
  let row = tick.tables.followers.get(replica.replica)
  if (row === undefined) {
    row = { replica: replica.replica, nextIndex: tick.tables.log.lastIndex + 1, matchIndex: 0, addedAt: tick.now, ackedRoundSentAt: tick.now, sentCommit: 0, inFlightUntil: 0 }
    tick.tables.followers.put(row)
  }
  return row
}

// The entries that fit into one message, at least one.
const firstEntries = (entries: readonly Entry[]): readonly Entry[] => entries.slice(0, Math.max(1, countWithin(entries, MAX_APPEND_BYTES)))

const startRound = (tick: LogTick): void => {
  const replica = tick.tables.replica
  replica.round += 1
  replica.roundSendTimes.set(replica.round, tick.now)
  replica.roundSendTimes.delete(replica.round - RETAINED_ROUNDS)
}

const sendEntries = (tick: LogTick, to: Replica, follower: FollowerRow, isHeartbeat: boolean): void => {
  const { replica, log } = tick.tables
  const { term, round, self } = replica
  const hasEntriesInFlight = tick.now < follower.inFlightUntil
  if (follower.nextIndex <= log.baseIndex && replica.snapshot !== null) {
    if (hasEntriesInFlight) return
    follower.inFlightUntil = tick.now + RESEND_TIMEOUT_MS
    sendLogMessage(tick, to, { kind: 'install', term, replica: self.replica, round, snapshot: replica.snapshot }, false)
    return
  }
  const entries = hasEntriesInFlight ? [] : firstEntries(log.slice(follower.nextIndex, MAX_ENTRIES_PER_APPEND))
  if (entries.length === 0 && !isHeartbeat) return
  const previousIndex = follower.nextIndex - 1
  const previousTerm = log.termAt(previousIndex) ?? 0
  if (entries.length > 0) follower.inFlightUntil = tick.now + RESEND_TIMEOUT_MS
  follower.sentCommit = replica.commit
  sendLogMessage(tick, to, { kind: 'append', term, replica: self.replica, round, previousIndex, previousTerm, entries, commit: replica.commit }, false)
}

const firstConflict = (tick: LogTick, entries: readonly Entry[]): number => {
  for (const [position, entry] of entries.entries()) {
    if (entry.index <= tick.tables.log.baseIndex) continue
    if (tick.tables.log.termAt(entry.index) !== entry.term) return position
  }
  return entries.length
}

// Also lowers the synced index: a completed sync of dropped entries must not count for the entries that replace them.
const truncateLogFrom = (tick: LogTick, index: number): void => {
  const { log, replica } = tick.tables
  log.truncateFrom(index)
  replica.syncedIndex = Math.min(replica.syncedIndex, index - 1)
  for (const [pending, last] of replica.unsynced) replica.unsynced.set(pending, Math.min(last, index - 1))
}

const storeEntries = (tick: LogTick, entries: readonly Entry[]): void => {
  const log = tick.tables.log
  const newEntries = entries.slice(firstConflict(tick, entries))
  const first = newEntries[0]
  if (first === undefined) return
  if (first.index <= log.lastIndex) truncateLogFrom(tick, first.index)
  for (const entry of newEntries) log.append(entry)
  refreshGroup(tick.tables)
  persist(tick, { kind: 'entries', entries: newEntries })
}

/** Handles append and install messages on followers and their replies on the leader; the leader also runs check-quorum. */
export class ReplicationReceiveSystem implements System<ReplicaTables, LogInput, LogOutput> {
  readonly name = 'replication-receive'

  run (tick: LogTick): void {
    for (const row of tick.inbox) {
      if (row.kind === 'persisted') this.#recordSync(tick, row.sequence)
      if (row.kind === 'disk') tick.tables.replica.diskRefusesSince = row.isRefusing ? tick.now : null
      if (row.kind !== 'message') continue
      if (row.message.kind === 'append') this.#handleAppend(tick, row.from, row.message)
      else if (row.message.kind === 'append-reply') this.#handleAppendReply(tick, row.message)
      else if (row.message.kind === 'install') this.#handleInstall(tick, row.from, row.message)
      else if (row.message.kind === 'join') tick.tables.joining.put({ ...row.message.replica, heardAt: tick.now })
    }
    if (tick.tables.replica.role === 'leader') this.#checkQuorum(tick)
  }

  deadline (): Millis { return NEVER }

  // Check-quorum: a leader that no quorum has acknowledged for an election timeout steps down.
  #checkQuorum (tick: LogTick): void {
    let confirmed = isVoter(tick.tables, tick.tables.replica.self.replica) ? 1 : 0
    for (const row of tick.tables.followers.rows()) {
      if (isVoter(tick.tables, row.replica) && tick.now - row.ackedRoundSentAt < ELECTION_TIMEOUT_MS) confirmed += 1
    }
    if (confirmed < quorumSize(tick.tables)) becomeFollower(tick, tick.tables.replica.term, null)
  }

  #recordSync (tick: LogTick, sequence: number): void {
    const replica = tick.tables.replica
    replica.syncedSequence = Math.max(replica.syncedSequence, sequence)
    for (const [pending, index] of replica.unsynced) {
      if (pending > sequence) break
      replica.unsynced.delete(pending)
      replica.syncedIndex = Math.max(replica.syncedIndex, index)
    }
  }

  #acceptLeader (tick: LogTick, from: HostId, term: number): boolean {
    const replica = tick.tables.replica
    if (term < replica.term) return false
    if (term > replica.term || replica.role !== 'follower') becomeFollower(tick, term, from)
    replica.leader = from
    replica.lastLeaderContactAt = tick.now
    replica.electionAt = drawElectionAt(tick)
    return true
  }

  #reply (tick: LogTick, from: HostId, round: number, success: boolean, match: number): void {
    const { replica } = tick.tables
    const to = findReplicaOnHost(tick.tables, from)
    if (to === undefined) return
    sendLogMessage(tick, to, { kind: 'append-reply', term: replica.term, replica: replica.self.replica, round, success, match }, true)
  }

  #handleAppend (tick: LogTick, from: HostId, message: Append): void {
    const { log, replica } = tick.tables
    this.#recordSender(tick, from, message.replica)
    if (!this.#acceptLeader(tick, from, message.term)) {
      this.#reply(tick, from, message.round, false, 0)
      return
    }
    const matchesPrevious = message.previousIndex < log.baseIndex || log.termAt(message.previousIndex) === message.previousTerm
    if (!matchesPrevious) {
      this.#reply(tick, from, message.round, false, Math.min(log.lastIndex, message.previousIndex - 1))
      return
    }
    storeEntries(tick, message.entries)
    const match = Math.max(log.baseIndex, message.previousIndex + message.entries.length)
    replica.commit = Math.max(replica.commit, Math.min(message.commit, match))
    this.#reply(tick, from, message.round, true, match)
  }

  // A replica without a group has no address for the leader. This row lets it reply over the leader's link.
  #recordSender (tick: LogTick, from: HostId, replica: Replica['replica']): void {
    if (findReplicaOnHost(tick.tables, from) !== undefined) return
    tick.tables.joining.put({ replica, host: from, link: UNKNOWN_ADDRESS, heardAt: tick.now })
  }

  #handleInstall (tick: LogTick, from: HostId, message: Install): void {
    const { log, replica, configuration } = tick.tables
    this.#recordSender(tick, from, message.replica)
    if (!this.#acceptLeader(tick, from, message.term)) {
      this.#reply(tick, from, message.round, false, 0)
      return
    }
    const { snapshot } = message
    if (snapshot.index > replica.commit) {
      // Entries behind the same last one may be committed, and this replica may have acknowledged them.
      const kept = log.termAt(snapshot.index) === snapshot.term ? log.rows().filter(entry => entry.index > snapshot.index) : []
      log.reset(snapshot.index, snapshot.term)
      for (const entry of kept) log.append(entry)
      replica.unsynced.clear()
      replica.syncedIndex = 0
      replica.snapshot = snapshot
      replica.commit = snapshot.index
      installSnapshot(configuration, snapshot.configuration)
      refreshGroup(tick.tables)
      persist(tick, { kind: 'snapshot', snapshot, kept })
    }
    this.#reply(tick, from, message.round, true, Math.max(snapshot.index, replica.commit))
  }

  #handleAppendReply (tick: LogTick, reply: AppendReply): void {
    const { replica, followers, log } = tick.tables
    if (reply.term > replica.term) {
      becomeFollower(tick, reply.term, null)
      return
    }
    const follower = followers.get(reply.replica)
    if (replica.role !== 'leader' || reply.term !== replica.term || follower === undefined) return
    follower.ackedRoundSentAt = Math.max(follower.ackedRoundSentAt, replica.roundSendTimes.get(reply.round) ?? follower.ackedRoundSentAt)
    if (reply.success) {
      if (reply.match > follower.matchIndex) follower.inFlightUntil = 0
      follower.matchIndex = Math.max(follower.matchIndex, reply.match)
      follower.nextIndex = Math.max(follower.nextIndex, follower.matchIndex + 1)
    } else {
      follower.nextIndex = Math.max(follower.matchIndex + 1, Math.min(reply.match + 1, log.lastIndex + 1))
      follower.inFlightUntil = 0
    }
  }
}

/** Sends entries, snapshots and heartbeats from the leader. */
export class ReplicationSendSystem implements System<ReplicaTables, LogInput, LogOutput> {
  readonly name = 'replication-send'

  run (tick: LogTick): void {
    const replica = tick.tables.replica
    if (replica.role !== 'leader') return
    const isHeartbeat = tick.now >= replica.nextHeartbeatAt
    if (isHeartbeat) {
      startRound(tick)
      replica.nextHeartbeatAt = tick.now + HEARTBEAT_INTERVAL_MS
    }
    for (const other of otherReplicas(tick.tables)) {
      const follower = followerOf(tick, other)
      sendEntries(tick, other, follower, isHeartbeat && this.#needsHeartbeat(tick, follower))
    }
  }

  deadline (tables: ReplicaTables): Millis {
    return tables.replica.role === 'leader' ? tables.replica.nextHeartbeatAt : NEVER
  }

  // Learners hold no elections, so they need fewer heartbeats, but each new commit index at once.
  #needsHeartbeat ({ tables }: LogTick, follower: FollowerRow): boolean {
    const { replica } = tables
    return isVoter(tables, follower.replica) || replica.commit > follower.sentCommit || replica.round % LEARNER_HEARTBEAT_ROUNDS === 0
  }
}

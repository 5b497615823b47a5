/** Replication: the leader sends entries or a snapshot, followers sync them before they answer. */

import type { HostId } from '../core/id.js'
import type { Millis, System } from '../core/tick.js'
import { NEVER } from '../core/tick.js'
import { installSnapshot } from '../configuration/configurationTables.js'
import { ENTRIES_PER_APPEND, becomeFollower, drawElectionAt, isVoter, otherReplicas, persist, quorumSize, refreshGroup, replicaAt, sendLog } from './replicaSteps.js'
import { ELECTION_TIMEOUT_MS, HEARTBEAT } from './timing.js'
import type { LogInput, LogOutput, LogTick, ReplicaTables } from './replicaSteps.js'
import type { Entry, FollowerRow, LogMessage, Replica } from './types.js'

type Append = Extract<LogMessage, { kind: 'append' }>
type AppendReply = Extract<LogMessage, { kind: 'append-reply' }>
type Install = Extract<LogMessage, { kind: 'install' }>

/** Entries in flight are sent again after this time without an answer. */
const RESEND: Millis = 500
const KEPT_ROUNDS = 64

const followerOf = (tick: LogTick, replica: Replica): FollowerRow => {
  let row = tick.tables.followers.get(replica.replica)
  if (row === undefined) {
    row = { replica: replica.replica, nextIndex: tick.tables.log.lastIndex + 1, matchIndex: 0, ackedRoundSentAt: tick.now, busyUntil: 0 }
    tick.tables.followers.put(row)
  }
  return row
}

const startRound = (tick: LogTick): void => {
  const replica = tick.tables.replica
  replica.round += 1
  replica.roundSendTimes.set(replica.round, tick.now)
  replica.roundSendTimes.delete(replica.round - KEPT_ROUNDS)
}

const sendEntries = (tick: LogTick, to: Replica, follower: FollowerRow, isHeartbeat: boolean): void => {
  const { replica, log } = tick.tables
  const { term, round, self } = replica
  const isBusy = tick.now < follower.busyUntil
  if (follower.nextIndex <= log.baseIndex && replica.snapshot !== null) {
    if (isBusy) return
    follower.busyUntil = tick.now + RESEND
    sendLog(tick, to, { kind: 'install', term, replica: self.replica, round, snapshot: replica.snapshot }, false)
    return
  }
  const entries = isBusy ? [] : log.slice(follower.nextIndex, ENTRIES_PER_APPEND)
  if (entries.length === 0 && !isHeartbeat) return
  const previousIndex = follower.nextIndex - 1
  const previousTerm = log.termAt(previousIndex) ?? 0
  if (entries.length > 0) follower.busyUntil = tick.now + RESEND
  sendLog(tick, to, { kind: 'append', term, replica: self.replica, round, previousIndex, previousTerm, entries, commit: replica.commit }, false)
}

const firstConflict = (tick: LogTick, entries: readonly Entry[]): number => {
  for (const [position, entry] of entries.entries()) {
    if (entry.index <= tick.tables.log.baseIndex) continue
    if (tick.tables.log.termAt(entry.index) !== entry.term) return position
  }
  return entries.length
}

// What was synced of the dropped entries must not count for those that take their place.
const dropFrom = (tick: LogTick, index: number): void => {
  const { log, replica } = tick.tables
  log.truncateFrom(index)
  replica.syncedIndex = Math.min(replica.syncedIndex, index - 1)
  for (const [pending, last] of replica.unsynced) replica.unsynced.set(pending, Math.min(last, index - 1))
}

const storeEntries = (tick: LogTick, entries: readonly Entry[]): void => {
  const log = tick.tables.log
  const fresh = entries.slice(firstConflict(tick, entries))
  const first = fresh[0]
  if (first === undefined) return
  if (first.index <= log.lastIndex) dropFrom(tick, first.index)
  for (const entry of fresh) log.append(entry)
  refreshGroup(tick.tables)
  persist(tick, { kind: 'entries', entries: fresh })
}

/** Stores entries and takes their confirmations. */
export class ReplicationReceiveSystem implements System<ReplicaTables, LogInput, LogOutput> {
  readonly name = 'replication-receive'

  run (tick: LogTick): void {
    for (const row of tick.inbox) {
      if (row.kind === 'persisted') this.#noteSynced(tick, row.sequence)
      if (row.kind !== 'message') continue
      if (row.message.kind === 'append') this.#takeAppend(tick, row.from, row.message)
      else if (row.message.kind === 'append-reply') this.#takeReply(tick, row.message)
      else if (row.message.kind === 'install') this.#takeInstall(tick, row.from, row.message)
      else if (row.message.kind === 'join') tick.tables.joining.put({ ...row.message.replica, heardAt: tick.now })
    }
    if (tick.tables.replica.role === 'leader') this.#checkQuorum(tick)
  }

  deadline (): Millis { return NEVER }

  // Check quorum: a leader that its quorum no longer answers stops leading before another one can be elected for long.
  #checkQuorum (tick: LogTick): void {
    let confirmed = isVoter(tick.tables, tick.tables.replica.self.replica) ? 1 : 0
    for (const row of tick.tables.followers.rows()) {
      if (isVoter(tick.tables, row.replica) && tick.now - row.ackedRoundSentAt < ELECTION_TIMEOUT_MS) confirmed += 1
    }
    if (confirmed < quorumSize(tick.tables)) becomeFollower(tick, tick.tables.replica.term, null)
  }

  #noteSynced (tick: LogTick, sequence: number): void {
    const replica = tick.tables.replica
    replica.syncedSequence = Math.max(replica.syncedSequence, sequence)
    for (const [pending, index] of replica.unsynced) {
      if (pending > sequence) break
      replica.unsynced.delete(pending)
      replica.syncedIndex = Math.max(replica.syncedIndex, index)
    }
  }

  #follow (tick: LogTick, from: HostId, term: number): boolean {
    const replica = tick.tables.replica
    if (term < replica.term) return false
    if (term > replica.term || replica.role !== 'follower') becomeFollower(tick, term, from)
    replica.leader = from
    replica.leaderHeardAt = tick.now
    replica.electionAt = drawElectionAt(tick)
    return true
  }

  #reply (tick: LogTick, from: HostId, round: number, success: boolean, match: number): void {
    const { replica } = tick.tables
    const to = replicaAt(tick.tables, from)
    if (to === undefined) return
    sendLog(tick, to, { kind: 'append-reply', term: replica.term, replica: replica.self.replica, round, success, match }, true)
  }

  #takeAppend (tick: LogTick, from: HostId, message: Append): void {
    const { log, replica } = tick.tables
    this.#noteSender(tick, from, message.replica)
    if (!this.#follow(tick, from, message.term)) {
      this.#reply(tick, from, message.round, false, 0)
      return
    }
    const isKnown = message.previousIndex < log.baseIndex || log.termAt(message.previousIndex) === message.previousTerm
    if (!isKnown) {
      this.#reply(tick, from, message.round, false, Math.min(log.lastIndex, message.previousIndex - 1))
      return
    }
    storeEntries(tick, message.entries)
    const match = Math.max(log.baseIndex, message.previousIndex + message.entries.length)
    replica.commit = Math.max(replica.commit, Math.min(message.commit, match))
    this.#reply(tick, from, message.round, true, match)
  }

  // A replica outside any group knows no address for its reply but that of who speaks to it.
  #noteSender (tick: LogTick, from: HostId, replica: Replica['replica']): void {
    if (replicaAt(tick.tables, from) !== undefined) return
    tick.tables.joining.put({ replica, host: from, link: { address: '', port: 0 }, heardAt: tick.now })
  }

  #takeInstall (tick: LogTick, from: HostId, message: Install): void {
    const { log, replica, configuration } = tick.tables
    this.#noteSender(tick, from, message.replica)
    if (!this.#follow(tick, from, message.term)) {
      this.#reply(tick, from, message.round, false, 0)
      return
    }
    const { snapshot } = message
    if (snapshot.index > replica.commit) {
      log.reset(snapshot.index, snapshot.term)
      replica.unsynced.clear()
      replica.syncedIndex = 0
      replica.snapshot = snapshot
      replica.commit = snapshot.index
      installSnapshot(configuration, snapshot.configuration)
      refreshGroup(tick.tables)
      persist(tick, { kind: 'snapshot', snapshot, kept: [] })
    }
    this.#reply(tick, from, message.round, true, Math.max(snapshot.index, replica.commit))
  }

  #takeReply (tick: LogTick, reply: AppendReply): void {
    const { replica, followers, log } = tick.tables
    if (reply.term > replica.term) {
      becomeFollower(tick, reply.term, null)
      return
    }
    const follower = followers.get(reply.replica)
    if (replica.role !== 'leader' || reply.term !== replica.term || follower === undefined) return
    follower.ackedRoundSentAt = Math.max(follower.ackedRoundSentAt, replica.roundSendTimes.get(reply.round) ?? follower.ackedRoundSentAt)
    if (reply.success) {
      if (reply.match > follower.matchIndex) follower.busyUntil = 0
      follower.matchIndex = Math.max(follower.matchIndex, reply.match)
      follower.nextIndex = Math.max(follower.nextIndex, follower.matchIndex + 1)
    } else {
      follower.nextIndex = Math.max(follower.matchIndex + 1, Math.min(reply.match + 1, log.lastIndex + 1))
      follower.busyUntil = 0
    }
  }
}

/** Sends entries, snapshots and heartbeats. */
export class ReplicationSendSystem implements System<ReplicaTables, LogInput, LogOutput> {
  readonly name = 'replication-send'

  run (tick: LogTick): void {
    const replica = tick.tables.replica
    if (replica.role !== 'leader') return
    const isHeartbeat = tick.now >= replica.nextHeartbeatAt
    if (isHeartbeat) {
      startRound(tick)
      replica.nextHeartbeatAt = tick.now + HEARTBEAT
    }
    for (const other of otherReplicas(tick.tables)) sendEntries(tick, other, followerOf(tick, other), isHeartbeat)
  }

  deadline (tables: ReplicaTables): Millis {
    return tables.replica.role === 'leader' ? tables.replica.nextHeartbeatAt : NEVER
  }
}

/** Accepts proposals, advances the commit index and applies committed entries to the configuration. */

import { toId } from '../core/id.js'
import type { OperatorId, RequestId } from '../core/id.js'
import type { Outcome } from '../core/outcome.js'
import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import { applyChange } from '../configuration/applyChange.js'
import { takeSnapshot } from '../configuration/configurationTables.js'
import type { Change, CommandEnvelope, CommandError, CommandReceipt } from '../configuration/types.js'
import { changeWithoutDocument } from '../plan/planDocument.js'
import { withdrawalTopic } from '../key-check/withdrawalTopic.js'
import { changeTopic, vouchTopic } from '../membership/changeTopic.js'
import type { GossipMessage, MessageSent } from '../membership/types.js'
import { spreadRumor } from '../membership/spreadRumor.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import { countWithin, estimateEntryBytes } from './entrySize.js'
import { appendAsLeader, isVoter, otherReplicas, persist, quorumSize } from './replicaSteps.js'
import type { LogInput, LogOutput, LogTick } from './replicaSteps.js'
import { latestGroup } from './replicaTables.js'
import type { CommandProposed, Entry, Group, LogTables } from './types.js'

/** Number of applied entries after which a snapshot is taken. */
export const SNAPSHOT_INTERVAL_ENTRIES = 1_000
/** Estimated size of applied entries after which a snapshot is taken, however few they are: a plan may have a megabyte. */
const SNAPSHOT_INTERVAL_BYTES = 8 * 1024 * 1024
/** Entries retained before a snapshot, so that replicas that lag slightly need no snapshot. */
const RETAINED_ENTRIES = 256
const RETAINED_BYTES = 2 * 1024 * 1024
/** Estimated size of uncommitted entries from which the leader refuses commands: their senders repeat them while a quorum is slow. */
const MAX_UNCOMMITTED_BYTES = 16 * 1024 * 1024
export const VOUCH_INTERVAL_MS: Millis = 1_000
const VOUCH_RETRY_INTERVAL_MS: Millis = 100

/** Tables that the commit system uses. */
export type CommitTables = LogTables & RumorTables
export type CommitTick = Tick<CommitTables, LogInput, LogOutput | MessageSent<GossipMessage>>

const toLogTick = (tick: CommitTick): LogTick => tick

// The withdrawal of a key needs no quorum to take effect: it spreads by gossip at once, and the log makes it durable.
const spreadWithdrawal = (tick: CommitTick, envelope: CommandEnvelope): void => {
  const { command, roles } = envelope
  if (command.kind !== 'withdraw-key' || !roles.includes('assign') || tick.tables.withdrawals.has(command.digest)) return
  tick.tables.withdrawals.put({ digest: command.digest })
  spreadRumor(tick, withdrawalTopic, { topic: 'withdrawal', digest: command.digest })
}

// Returns the group as of an index. A later, uncommitted group must not enter a snapshot, as its entry may still be dropped.
const groupAt = (tables: LogTables, index: number): Group => {
  const entries = tables.log.rows().filter(entry => entry.index <= index)
  return latestGroup(tables.replica, entries)
}

const uncommittedBytes = ({ log, replica }: LogTables): number => {
  let bytes = 0
  for (let index = replica.commit + 1; index <= log.lastIndex; index += 1) {
    const entry = log.get(index)
    if (entry !== undefined) bytes += estimateEntryBytes(entry)
  }
  return bytes
}

// Counts the last entries up to an index that remain in the log after a snapshot.
const countRetained = ({ log }: LogTables, index: number): number => {
  const newestFirst = log.rows().filter(entry => entry.index <= index).slice(-RETAINED_ENTRIES).reverse()
  return countWithin(newestFirst, RETAINED_BYTES)
}

/** Proposes, commits and applies entries, confirms the commit index to the fleet and compacts the log. */
export class CommitSystem implements System<CommitTables, LogInput, LogOutput | MessageSent<GossipMessage>> {
  readonly name = 'commit'
  #seenWithdrawalRevision = -1
  #proposedWithdrawals = new Set<string>()
  #appliedBytesSinceSnapshot = 0

  run (tick: CommitTick): void {
    for (const row of tick.inbox) {
      if (row.kind === 'propose') this.#propose(tick, row)
    }
    const { replica } = tick.tables
    if (replica.role === 'leader') {
      this.#proposeWithdrawals(tick)
      this.#advanceCommit(tick)
      this.#vouch(tick)
    } else {
      this.#seenWithdrawalRevision = -1
      this.#proposedWithdrawals.clear()
    }
    this.#apply(tick)
    this.#compact(tick)
  }

  deadline (tables: CommitTables): Millis {
    const { role, nextVouchAt } = tables.replica
    return role === 'leader' ? nextVouchAt : NEVER
  }

  #propose (tick: CommitTick, row: CommandProposed): void {
    const { replica, proposals } = tick.tables
    spreadWithdrawal(tick, row.envelope)
    if (replica.role !== 'leader') {
      tick.emit({ kind: 'proposal-answer', call: row.call, receipt: null, error: { kind: 'not-leader', leader: replica.leader } })
      return
    }
    if (uncommittedBytes(tick.tables) > MAX_UNCOMMITTED_BYTES) {
      tick.emit({ kind: 'proposal-answer', call: row.call, receipt: null, error: { kind: 'log-full' } })
      return
    }
    const entry = appendAsLeader(toLogTick(tick), { kind: 'command', envelope: row.envelope })
    proposals.put({ index: entry.index, term: entry.term, call: row.call, proposedAt: tick.now })
  }

  // The leader proposes withdrawals that arrived at other hosts, to make them durable.
  #proposeWithdrawals (tick: CommitTick): void {
    const { withdrawals, configuration } = tick.tables
    if (withdrawals.revision === this.#seenWithdrawalRevision) return
    this.#seenWithdrawalRevision = withdrawals.revision
    for (const { digest } of withdrawals.rows()) {
      if (configuration.keys.get(digest)?.state !== 'given' || this.#proposedWithdrawals.has(digest)) continue
      this.#proposedWithdrawals.add(digest)
      appendAsLeader(toLogTick(tick), {
        kind: 'command',
        envelope: { requestId: toId<RequestId>(`withdrawal/${digest}`), operator: toId<OperatorId>('system'), roles: ['assign'], command: { kind: 'withdraw-key', digest } }
      })
    }
  }

  // Only entries of the current term are committed by counting replicas; earlier entries are committed along with them
  // (Raft, section 5.4.2).
  #advanceCommit (tick: CommitTick): void {
    const { replica, followers, log } = tick.tables
    const matches: number[] = []
    if (isVoter(tick.tables, replica.self.replica)) matches.push(replica.syncedIndex)
    for (const row of followers.rows()) {
      if (isVoter(tick.tables, row.replica)) matches.push(row.matchIndex)
    }
    matches.sort((a, b) => b - a)
    const quorumIndex = matches[quorumSize(tick.tables) - 1] ?? 0
    if (quorumIndex <= replica.commit || log.termAt(quorumIndex) !== replica.term) return
    replica.commit = quorumIndex
    // Sends a heartbeat at once, so that followers learn the new commit index without delay.
    replica.nextHeartbeatAt = tick.now
  }

  #apply (tick: CommitTick): void {
    const { replica, log, configuration } = tick.tables
    while (configuration.index < replica.commit) {
      const entry = log.get(configuration.index + 1)
      if (entry === undefined) return
      this.#applyEntry(tick, entry)
    }
  }

  #applyEntry (tick: CommitTick, entry: Entry): void {
    const { configuration, recentChanges } = tick.tables
    const envelope = entry.payload.kind === 'command' ? entry.payload.envelope : null
    const change: Change = { index: entry.index, envelope }
    const outcome = applyChange(configuration, change)
    this.#appliedBytesSinceSnapshot += estimateEntryBytes(entry)
    if (envelope !== null) spreadWithdrawal(tick, envelope)
    const changeToSpread = changeWithoutDocument(change)
    recentChanges.add(changeToSpread)
    spreadRumor(tick, changeTopic, { topic: 'change', change: changeToSpread })
    this.#answer(tick, entry, outcome)
  }

  #answer (tick: CommitTick, entry: Entry, outcome: Outcome<CommandReceipt, CommandError> | null): void {
    const proposal = tick.tables.proposals.get(entry.index)
    if (proposal === undefined) return
    tick.tables.proposals.remove(entry.index)
    if (proposal.term !== entry.term || outcome === null) {
      tick.emit({ kind: 'proposal-answer', call: proposal.call, receipt: null, error: { kind: 'outcome-unknown' } })
      return
    }
    const receipt = outcome.tag === 'ok' ? outcome.value : null
    const error = outcome.tag === 'error' ? outcome.error : null
    tick.emit({ kind: 'proposal-answer', call: proposal.call, receipt, error })
  }

  // Issues a vouch: a quorum that has acknowledged a round proves that no later leader had been elected when the round was sent.
  #vouch (tick: CommitTick): void {
    const { replica, followers, log, gossip, configuration } = tick.tables
    if (tick.now < replica.nextVouchAt) return
    replica.nextVouchAt = tick.now + VOUCH_RETRY_INTERVAL_MS
    // A new leader doesn't know the newest commit index until an entry of its own term is committed.
    if (log.termAt(replica.commit) !== replica.term) return
    const confirmationTimes: number[] = []
    if (isVoter(tick.tables, replica.self.replica)) confirmationTimes.push(tick.now)
    for (const row of followers.rows()) {
      if (isVoter(tick.tables, row.replica)) confirmationTimes.push(row.ackedRoundSentAt)
    }
    confirmationTimes.sort((a, b) => b - a)
    const confirmedAt = confirmationTimes[quorumSize(tick.tables) - 1]
    if (confirmedAt === undefined) return
    replica.nextVouchAt = tick.now + VOUCH_INTERVAL_MS
    replica.vouchSequence += 1
    const vouch = { index: replica.commit, term: replica.term, sequence: replica.vouchSequence, ageMs: tick.now - confirmedAt }
    gossip.vouch = vouch
    gossip.vouchedAt = confirmedAt
    if (configuration.index >= vouch.index) gossip.confirmedAt = confirmedAt
    spreadRumor(tick, vouchTopic, { topic: 'vouch', vouch })
    // Straight to each replica: the leader may have started a moment ago and not know them as members yet.
    for (const { host, link } of otherReplicas(tick.tables)) {
      tick.emit({ kind: 'send', to: host, address: link, message: { kind: 'rumors', rumors: [{ topic: 'vouch', vouch }] } })
    }
  }

  #compact (tick: CommitTick): void {
    const { replica, log, configuration } = tick.tables
    const { index } = configuration
    const appliedEntries = index - (replica.snapshot?.index ?? 0)
    if (appliedEntries < SNAPSHOT_INTERVAL_ENTRIES && this.#appliedBytesSinceSnapshot < SNAPSHOT_INTERVAL_BYTES) return
    this.#appliedBytesSinceSnapshot = 0
    const term = log.termAt(index)
    if (term === undefined || appliedEntries === 0) return
    replica.snapshot = { index, term, group: groupAt(tick.tables, index), configuration: takeSnapshot(configuration) }
    const firstRetained = index - countRetained(tick.tables, index)
    if (firstRetained > log.baseIndex) log.compact(firstRetained)
    persist(toLogTick(tick), { kind: 'snapshot', snapshot: replica.snapshot, kept: log.rows().filter(entry => entry.index > index), isCompaction: true })
  }
}

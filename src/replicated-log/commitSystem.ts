/** Proposals, commitment, and the application of committed entries to the configuration. */

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
import { spreadRumor } from '../membership/spreadRumor.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import { appendOwn, isVoter, persist, quorumSize } from './replicaSteps.js'
import type { LogInput, LogOutput, LogTick } from './replicaSteps.js'
import { latestGroup } from './replicaTables.js'
import type { CommandProposed, Entry, Group, LogTables } from './types.js'

/** Applied entries after which a snapshot takes their place. */
export const SNAPSHOT_EVERY = 1_000
/** Entries kept behind a snapshot for replicas that are a little behind. */
const KEPT_ENTRIES = 256
/** Time between two vouches of a leader. */
export const VOUCH_INTERVAL: Millis = 2_000
const VOUCH_RETRY: Millis = 100

/** Tables of a control host that commitment works on. */
export type CommitTables = LogTables & RumorTables
/** One tick as seen by commitment. */
export type CommitTick = Tick<CommitTables, LogInput, LogOutput>

const toLogTick = (tick: CommitTick): LogTick => tick

// A withdrawal needs no agreement: it spreads at once, and the log makes it durable.
const spreadWithdrawal = (tick: CommitTick, envelope: CommandEnvelope): void => {
  const { command, roles } = envelope
  if (command.kind !== 'withdraw-key' || !roles.includes('assign') || tick.tables.withdrawals.has(command.digest)) return
  tick.tables.withdrawals.put({ digest: command.digest })
  spreadRumor(tick, withdrawalTopic, { topic: 'withdrawal', digest: command.digest })
}

// A later, uncommitted group must not get into the snapshot: it may still be dropped.
const groupAt = (tables: LogTables, index: number): Group => {
  const entries = tables.log.rows().filter(entry => entry.index <= index)
  return latestGroup(tables.replica, entries)
}

/** Takes proposals, commits entries and applies them. */
export class CommitSystem implements System<CommitTables, LogInput, LogOutput> {
  readonly name = 'commit'
  #withdrawalsSeen = -1
  #proposedWithdrawals = new Set<string>()

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
      this.#withdrawalsSeen = -1
      this.#proposedWithdrawals.clear()
    }
    this.#apply(tick)
    this.#compact(tick)
  }

  deadline (tables: CommitTables): Millis {
    const { role, vouchAt } = tables.replica
    return role === 'leader' ? vouchAt : NEVER
  }

  #propose (tick: CommitTick, row: CommandProposed): void {
    const { replica, proposals } = tick.tables
    spreadWithdrawal(tick, row.envelope)
    if (replica.role !== 'leader') {
      tick.emit({ kind: 'proposal-answer', call: row.call, receipt: null, error: { kind: 'not-leader', leader: replica.leader } })
      return
    }
    const entry = appendOwn(toLogTick(tick), { kind: 'command', envelope: row.envelope })
    proposals.put({ index: entry.index, term: entry.term, call: row.call, proposedAt: tick.now })
  }

  // Withdrawals that came in at other hosts become durable through the leader.
  #proposeWithdrawals (tick: CommitTick): void {
    const { withdrawals, configuration } = tick.tables
    if (withdrawals.revision === this.#withdrawalsSeen) return
    this.#withdrawalsSeen = withdrawals.revision
    for (const { digest } of withdrawals.rows()) {
      if (configuration.keys.get(digest)?.state !== 'given' || this.#proposedWithdrawals.has(digest)) continue
      this.#proposedWithdrawals.add(digest)
      appendOwn(toLogTick(tick), {
        kind: 'command',
        envelope: { requestId: toId<RequestId>(`withdrawal/${digest}`), operator: toId<OperatorId>('system'), roles: ['assign'], command: { kind: 'withdraw-key', digest } }
      })
    }
  }

  // Only entries of the leader's own term are committed by counting; earlier ones follow with them.
  #advanceCommit (tick: CommitTick): void {
    const { replica, followers, log } = tick.tables
    const matches: number[] = []
    if (isVoter(tick.tables, replica.self.replica)) matches.push(replica.syncedIndex)
    for (const row of followers.rows()) {
      if (isVoter(tick.tables, row.replica)) matches.push(row.matchIndex)
    }
    matches.sort((a, b) => b - a)
    const agreed = matches[quorumSize(tick.tables) - 1] ?? 0
    if (agreed <= replica.commit || log.termAt(agreed) !== replica.term) return
    replica.commit = agreed
    // Followers learn at once what they may apply.
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
    if (envelope !== null) spreadWithdrawal(tick, envelope)
    const told = changeWithoutDocument(change)
    recentChanges.add(told)
    spreadRumor(tick, changeTopic, { topic: 'change', change: told })
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

  // The newest round that a quorum has answered proves that no later leader had been elected when it was sent.
  #vouch (tick: CommitTick): void {
    const { replica, followers, log, gossip, configuration } = tick.tables
    if (tick.now < replica.vouchAt) return
    replica.vouchAt = tick.now + VOUCH_RETRY
    // A new leader knows the newest index only once an entry of its own term is committed.
    if (log.termAt(replica.commit) !== replica.term) return
    const confirmed: number[] = []
    if (isVoter(tick.tables, replica.self.replica)) confirmed.push(tick.now)
    for (const row of followers.rows()) {
      if (isVoter(tick.tables, row.replica)) confirmed.push(row.ackedRoundSentAt)
    }
    confirmed.sort((a, b) => b - a)
    const confirmedAt = confirmed[quorumSize(tick.tables) - 1]
    if (confirmedAt === undefined) return
    replica.vouchAt = tick.now + VOUCH_INTERVAL
    replica.vouchSequence += 1
    const vouch = { index: replica.commit, term: replica.term, sequence: replica.vouchSequence, ageMs: tick.now - confirmedAt }
    gossip.vouch = vouch
    gossip.vouchedAt = confirmedAt
    if (configuration.index >= vouch.index) gossip.confirmedAt = confirmedAt
    spreadRumor(tick, vouchTopic, { topic: 'vouch', vouch })
  }

  #compact (tick: CommitTick): void {
    const { replica, log, configuration } = tick.tables
    const snapshotIndex = replica.snapshot?.index ?? 0
    if (configuration.index - snapshotIndex < SNAPSHOT_EVERY) return
    const term = log.termAt(configuration.index)
    if (term === undefined) return
    replica.snapshot = { index: configuration.index, term, group: groupAt(tick.tables, configuration.index), configuration: takeSnapshot(configuration) }
    if (configuration.index - KEPT_ENTRIES > log.baseIndex) log.compact(configuration.index - KEPT_ENTRIES)
    persist(toLogTick(tick), { kind: 'snapshot', snapshot: replica.snapshot, kept: log.rows() })
  }
}

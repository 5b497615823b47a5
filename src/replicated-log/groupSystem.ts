/**
 * Single-step membership changes: a new replica first catches up as a learner, then the replica that it replaces is removed,
 * then it becomes a voter.
 */

import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import { introduce } from '../gossip/gossipSteps.js'
import type { GossipMessage, MembershipTables, MessageSent } from '../membership/types.js'
import { isAnswering, waitingReplicas, withLearners, withoutVoter } from './replicaAdmission.js'
import type { ReplicaAdmission } from './replicaAdmission.js'
import { appendAsLeader, sendLogMessage } from './replicaSteps.js'
import type { LogInput, LogOutput, ReplicaTables } from './replicaSteps.js'
import type { Group, PendingAdmission, Replica, ReplicaAdmitted } from './types.js'

/** Interval at which the leader evaluates the admission policy. */
const DECISION_INTERVAL_MS: Millis = 250
/** Time without a leader after which a replica sends join requests, as it may have been removed from the group. */
const LEADERLESS_REJOIN_DELAY_MS: Millis = 4_000
/** Automatic admissions are abandoned after this time, so that a replica that never catches up does not block others. */
const ADMISSION_TIMEOUT_MS: Millis = 10_000
const JOIN_REQUEST_INTERVAL_MS: Millis = 1_000
/** Interval at which a starting replica looks for control hosts to ask. */
const UNCONNECTED_RETRY_MS: Millis = 100

type GroupTables = ReplicaTables & MembershipTables
type GroupOutput = LogOutput | MessageSent<GossipMessage>
type GroupTick = Tick<GroupTables, LogInput, GroupOutput>

const containsReplica = (list: readonly Replica[], replica: Replica): boolean => list.some(row => row.replica === replica.replica)

/** Returns the next group on the way to admitting a replica: the given group until it has caught up, null when it is a voter. */
export const nextGroup = (group: Group, { replica, replaces }: Pick<PendingAdmission, 'replica' | 'replaces'>, isCaughtUp: boolean): Group | null => {
  if (containsReplica(group.voters, replica)) return null
  if (!containsReplica(group.learners, replica)) {
    return withLearners(group, [replica])
  }
  if (!isCaughtUp) return group
  const lost = group.voters.find(row => row.replica === replaces?.replica)
  if (lost !== undefined) return withoutVoter(group, lost)
  const learners = group.learners.filter(row => row.replica !== replica.replica)
  return { voters: [...group.voters, replica], learners }
}

/** Carries out changes of the group, one at a time. */
export class GroupSystem implements System<GroupTables, LogInput, GroupOutput> {
  readonly name = 'group'
  #nextJoinAt: Millis = 0
  #nextDecisionAt: Millis = 0

  constructor (readonly admission: ReplicaAdmission) {}

  run (tick: GroupTick): void {
    for (const row of tick.inbox) {
      if (row.kind === 'admit') this.#startAdmission(tick, row)
    }
    if (tick.tables.replica.role === 'leader' && tick.now >= this.#nextDecisionAt) this.#decide(tick)
    const { role, admission } = tick.tables.replica
    if (role === 'leader' && admission !== null) this.#advanceAdmission(tick, admission)
    if (tick.now >= this.#nextJoinAt && this.#mayBeOutsideGroup(tick.tables, tick.now)) this.#requestJoin(tick)
  }

  deadline (tables: GroupTables): Millis {
    if (tables.replica.role === 'leader') return this.admission.name === 'operator' ? NEVER : this.#nextDecisionAt
    return this.#isOutsideGroup(tables) ? this.#nextJoinAt : NEVER
  }

  // Admits joining replicas, then makes learners voters, then removes lost voters, one change at a time.
  #decide (tick: GroupTick): void {
    this.#nextDecisionAt = tick.now + DECISION_INTERVAL_MS
    const { replica } = tick.tables
    if (replica.admission?.call === null && this.#cannotComplete(tick, replica.admission)) replica.admission = null
    if (replica.admission !== null || !this.#mayChangeGroup(tick.tables)) return
    const learners = this.admission.newLearners(tick.tables, tick.now)
    if (learners.length > 0) {
      appendAsLeader(tick, { kind: 'group', group: withLearners(replica.group, learners) })
      return
    }
    const promotion = this.admission.nextVoter(tick.tables, tick.now)
    if (promotion !== null) {
      replica.admission = { replica: promotion.learner, replaces: promotion.replaces, call: null, startedAt: tick.now }
      return
    }
    const lost = this.admission.lostVoter(tick.tables, tick.now)
    if (lost !== null) appendAsLeader(tick, { kind: 'group', group: withoutVoter(replica.group, lost) })
  }

  // A learner that has lost its disk again is none any more: its host asks to join as another replica. Others must not wait for it.
  #cannotComplete ({ tables, now }: GroupTick, { replica, startedAt }: PendingAdmission): boolean {
    const hasSuccessor = waitingReplicas(tables, now).some(waiting => waiting.host === replica.host)
    return hasSuccessor || !isAnswering(tables, replica, now) || now - startedAt > ADMISSION_TIMEOUT_MS
  }

  // A replica that was removed while it was offline still has the old group in its log; it can only observe that no leader
  // contacts it.
  #mayBeOutsideGroup (tables: GroupTables, now: Millis): boolean {
    const { role, lastLeaderContactAt } = tables.replica
    if (this.#isOutsideGroup(tables)) return true
    return this.admission.name !== 'operator' && role !== 'leader' && now - lastLeaderContactAt > LEADERLESS_REJOIN_DELAY_MS
  }

  #isOutsideGroup (tables: GroupTables): boolean {
    const { self, group } = tables.replica
    return !containsReplica(group.voters, self) && !containsReplica(group.learners, self)
  }

  #requestJoin (tick: GroupTick): void {
    const { members, replica } = tick.tables
    const others = [...members.rows()].filter(({ member }) => member.role === 'control' && member.host !== replica.self.host)
    this.#nextJoinAt = tick.now + (others.length > 0 ? JOIN_REQUEST_INTERVAL_MS : UNCONNECTED_RETRY_MS)
    for (const { member } of others) {
      // The leader has to know a host that it admits, and rumors about this one may not have reached it.
      introduce(tick, member)
      sendLogMessage(tick, { replica: replica.self.replica, host: member.host, link: member.link }, { kind: 'join', replica: replica.self }, false)
    }
  }

  #startAdmission (tick: GroupTick, row: ReplicaAdmitted): void {
    const { replica, joining } = tick.tables
    const joiner = joining.get(row.host)
    if (replica.role !== 'leader') tick.emit({ kind: 'proposal-answer', call: row.call, receipt: null, error: { kind: 'not-leader', leader: replica.leader } })
    else if (replica.admission !== null) tick.emit({ kind: 'proposal-answer', call: row.call, receipt: null, error: { kind: 'group-change-running' } })
    else if (joiner === undefined) tick.emit({ kind: 'proposal-answer', call: row.call, receipt: null, error: { kind: 'no-join-request' } })
    else replica.admission = { replica: joiner, replaces: replica.group.voters.find(voter => voter.host === joiner.host) ?? null, call: row.call, startedAt: tick.now }
  }

  // Two concurrent changes could allow two disjoint majorities, so each one waits until the previous is committed.
  // A new leader first commits an entry of its own term: an uncommitted change of an earlier leader could conflict with its change.
  #mayChangeGroup (tables: GroupTables): boolean {
    const { replica, log } = tables
    if (log.termAt(replica.commit) !== replica.term) return false
    for (const entry of log.rows()) {
      if (entry.index > replica.commit && entry.payload.kind === 'group') return false
    }
    return true
  }

  #advanceAdmission (tick: GroupTick, admission: PendingAdmission): void {
    const { replica, followers } = tick.tables
    if (!this.#mayChangeGroup(tick.tables)) return
    const joiner = admission.replica
    const follower = followers.get(joiner.replica)
    const isCaughtUp = follower !== undefined && follower.matchIndex >= replica.commit
    const group = nextGroup(replica.group, admission, isCaughtUp)
    if (group === null) {
      replica.admission = null
      this.#nextDecisionAt = tick.now + 1
      tick.tables.joining.remove(joiner.host)
      if (admission.call !== null) tick.emit({ kind: 'proposal-answer', call: admission.call, receipt: { index: replica.commit, version: 0 }, error: null })
    } else if (group !== replica.group) {
      appendAsLeader(tick, { kind: 'group', group })
    }
  }
}

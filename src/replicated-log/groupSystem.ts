/** Changes of the group: a new replica first catches up, then the lost one leaves, then the new one votes. */

import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import type { MembershipTables } from '../membership/types.js'
import { without } from './replicaAdmission.js'
import type { ReplicaAdmission } from './replicaAdmission.js'
import { appendOwn, sendLog } from './replicaSteps.js'
import type { LogInput, LogOutput, ReplicaTables } from './replicaSteps.js'
import type { Group, Replica, ReplicaAdmitted } from './types.js'

/** Time between two looks at who may enter or leave. */
const DECISION_INTERVAL: Millis = 250
/** Without a leader for this long, a replica asks whether it is still in the group. */
const LEADERLESS: Millis = 4_000
/** An admission that has not come to an end by then makes way for others. */
const ADMISSION_PATIENCE: Millis = 10_000
/** Time between two requests to join. */
const JOIN_INTERVAL: Millis = 1_000

type GroupTables = ReplicaTables & MembershipTables
type GroupTick = Tick<GroupTables, LogInput, LogOutput>

const has = (list: readonly Replica[], replica: Replica): boolean => list.some(row => row.replica === replica.replica)

/** The next group on the way to admitting a replica; null when it votes already. */
export const nextGroup = (group: Group, replica: Replica, isCaughtUp: boolean): Group | null => {
  if (has(group.voters, replica)) return null
  if (!has(group.learners, replica)) {
    const learners = group.learners.filter(row => row.host !== replica.host)
    return { voters: group.voters, learners: [...learners, replica] }
  }
  if (!isCaughtUp) return group
  const lost = group.voters.find(row => row.host === replica.host)
  if (lost !== undefined) return { voters: group.voters.filter(row => row !== lost), learners: group.learners }
  const learners = group.learners.filter(row => row.replica !== replica.replica)
  return { voters: [...group.voters, replica], learners }
}

/** Carries out one change of the group at a time. */
export class GroupSystem implements System<GroupTables, LogInput, LogOutput> {
  readonly name = 'group'
  #joinAt: Millis = 0
  #decideAt: Millis = 0

  constructor (readonly admission: ReplicaAdmission) {}

  run (tick: GroupTick): void {
    for (const row of tick.inbox) {
      if (row.kind === 'admit') this.#admit(tick, row)
    }
    if (tick.tables.replica.role === 'leader' && tick.now >= this.#decideAt) this.#decide(tick)
    const { role, admission } = tick.tables.replica
    if (role === 'leader' && admission !== null) this.#advance(tick, admission.replica)
    if (tick.now >= this.#joinAt && this.#mayBeOutside(tick.tables, tick.now)) this.#join(tick)
  }

  deadline (tables: GroupTables): Millis {
    if (tables.replica.role === 'leader') return this.admission.name === 'operator' ? NEVER : this.#decideAt
    return this.#isOutside(tables) ? this.#joinAt : NEVER
  }

  // One step at a time, as with an operator: first whoever asks to join, then whoever is lost.
  #decide (tick: GroupTick): void {
    this.#decideAt = tick.now + DECISION_INTERVAL
    const { replica } = tick.tables
    const { admission } = replica
    if (admission !== null && admission.call === null && tick.now - admission.startedAt > ADMISSION_PATIENCE) replica.admission = null
    if (replica.admission !== null || !this.#isSettled(tick.tables)) return
    const joiner = this.admission.nextJoiner(tick.tables, tick.now)
    if (joiner !== null) {
      replica.admission = { replica: joiner, call: null, startedAt: tick.now }
      return
    }
    const lost = this.admission.lostVoter(tick.tables, tick.now)
    if (lost !== null) appendOwn(tick, { kind: 'group', group: without(replica.group, lost) })
  }

  // A replica that was taken out while it was away has not heard of it, only that no leader speaks to it.
  #mayBeOutside (tables: GroupTables, now: Millis): boolean {
    const { role, leaderHeardAt } = tables.replica
    if (this.#isOutside(tables)) return true
    return this.admission.name !== 'operator' && role !== 'leader' && now - leaderHeardAt > LEADERLESS
  }

  #isOutside (tables: GroupTables): boolean {
    const { self, group } = tables.replica
    return !has(group.voters, self) && !has(group.learners, self)
  }

  #join (tick: GroupTick): void {
    this.#joinAt = tick.now + JOIN_INTERVAL
    for (const { member } of tick.tables.members.rows()) {
      if (member.role !== 'control' || member.host === tick.tables.replica.self.host) continue
      sendLog(tick, { replica: tick.tables.replica.self.replica, host: member.host, link: member.link }, { kind: 'join', replica: tick.tables.replica.self }, false)
    }
  }

  #admit (tick: GroupTick, row: ReplicaAdmitted): void {
    const { replica, joining } = tick.tables
    const joiner = joining.get(row.host)
    if (replica.role !== 'leader') tick.emit({ kind: 'proposal-answer', call: row.call, receipt: null, error: { kind: 'not-leader', leader: replica.leader } })
    else if (replica.admission !== null) tick.emit({ kind: 'proposal-answer', call: row.call, receipt: null, error: { kind: 'group-change-running' } })
    else if (joiner === undefined) tick.emit({ kind: 'proposal-answer', call: row.call, receipt: null, error: { kind: 'no-join-request' } })
    else replica.admission = { replica: joiner, call: row.call, startedAt: tick.now }
  }

  // Two changes at once could give two disjoint majorities, so each waits until the one before is committed.
  #isSettled (tables: GroupTables): boolean {
    const { replica, log } = tables
    if (log.termAt(replica.commit) !== replica.term) return false
    for (const entry of log.rows()) {
      if (entry.index > replica.commit && entry.payload.kind === 'group') return false
    }
    return true
  }

  #advance (tick: GroupTick, joiner: Replica): void {
    const { replica, followers } = tick.tables
    if (!this.#isSettled(tick.tables)) return
    const follower = followers.get(joiner.replica)
    const isCaughtUp = follower !== undefined && follower.matchIndex >= replica.commit
    const group = nextGroup(replica.group, joiner, isCaughtUp)
    if (group === null) {
      const call = replica.admission?.call
      replica.admission = null
      tick.tables.joining.remove(joiner.host)
      if (call !== undefined && call !== null) tick.emit({ kind: 'proposal-answer', call, receipt: { index: replica.commit, version: 0 }, error: null })
    } else if (group !== replica.group) {
      appendOwn(tick, { kind: 'group', group })
    }
  }
}

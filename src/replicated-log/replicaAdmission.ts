/** Ways to decide which replicas enter and leave the group. */

import type { HostId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { MemberRow, MembershipTables } from '../membership/types.js'
import type { Group, LogTables, Replica } from './types.js'

/** Tables that a decision reads. */
export type AdmissionTables = LogTables & Pick<MembershipTables, 'members'>

/** Decides about the group where no operator has said anything. */
export interface ReplicaAdmission {
  readonly name: string
  /** A replica to admit next. */
  nextJoiner (tables: AdmissionTables, now: Millis): Replica | null
  /** A voter that is not coming back, as far as anybody can tell. */
  lostVoter (tables: AdmissionTables, now: Millis): Replica | null
}

/** Nothing changes without an operator. */
export class OperatorAdmission implements ReplicaAdmission {
  readonly name = 'operator'

  nextJoiner (): null { return null }

  lostVoter (): null { return null }
}

/** A request to join counts this long. */
const JOIN_FRESHNESS: Millis = 3_000
/** A voter that has been dead for this long is taken out, so that the rest need a smaller quorum. */
const LOST_AFTER: Millis = 8_000
/** With fewer voters a group does not bear the loss of two. */
const SMALLEST_GROUP = 5

const isIn = (list: readonly Replica[], replica: Replica): boolean => list.some(row => row.replica === replica.replica)

const isAlive = (row: MemberRow | undefined): boolean => row !== undefined && (row.member.state === 'alive' || row.member.state === 'leaving')

/** Control hosts that ask to join are admitted, and voters that stay dead leave, as long as enough remain. */
export class AutomaticAdmission implements ReplicaAdmission {
  readonly name = 'automatic'

  nextJoiner (tables: AdmissionTables, now: Millis): Replica | null {
    const { group } = tables.replica
    for (const row of tables.joining.rows()) {
      const { replica, host, link } = row
      if (now - row.heardAt > JOIN_FRESHNESS || link.port === 0 || isIn(group.voters, row)) continue
      if (isAlive(tables.members.get(host))) return { replica, host, link }
    }
    return null
  }

  lostVoter (tables: AdmissionTables, now: Millis): Replica | null {
    const { group, self } = tables.replica
    if (group.voters.length <= SMALLEST_GROUP) return null
    for (const voter of group.voters) {
      if (voter.replica !== self.replica && this.#isLost(tables, voter.host, now)) return voter
    }
    return null
  }

  #isLost (tables: AdmissionTables, host: HostId, now: Millis): boolean {
    const row = tables.members.get(host)
    return row !== undefined && row.member.state === 'dead' && now - row.changedAt >= LOST_AFTER
  }
}

/** A group without one of its voters. */
export const without = (group: Group, lost: Replica): Group =>
  ({ voters: group.voters.filter(row => row.replica !== lost.replica), learners: group.learners })

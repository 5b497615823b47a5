/** Policies that decide which replicas join and leave the group. */

import type { HostId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { MemberRow, MembershipTables } from '../membership/types.js'
import type { Group, LogTables, Replica } from './types.js'

/** Tables that an admission policy reads. */
export type ReplicaAdmissionTables = LogTables & Pick<MembershipTables, 'members'>

/** Decides about changes of the group that no operator has requested. */
export interface ReplicaAdmission {
  readonly name: string
  /** Returns the replica to admit next, or null. */
  nextJoiner (tables: ReplicaAdmissionTables, now: Millis): Replica | null
  /** Returns a voter that is presumed lost and should be removed, or null. */
  lostVoter (tables: ReplicaAdmissionTables, now: Millis): Replica | null
}

/** Never changes the group by itself; operators admit replicas. */
export class OperatorAdmission implements ReplicaAdmission {
  readonly name = 'operator'

  nextJoiner (): null { return null }

  lostVoter (): null { return null }
}

/** Join requests older than this are ignored; replicas repeat theirs. */
const JOIN_REQUEST_TTL_MS: Millis = 3_000
/** Time for which a voter must be dead before it is removed; removal reduces the quorum that the others need. */
const DEAD_VOTER_REMOVAL_DELAY_MS: Millis = 8_000
/** No voter is removed from a group of this size: fewer voters do not tolerate the loss of two. */
const MIN_VOTERS = 5

const containsReplica = (list: readonly Replica[], replica: Replica): boolean => list.some(row => row.replica === replica.replica)

const isAlive = (row: MemberRow | undefined): boolean => row !== undefined && (row.member.state === 'alive' || row.member.state === 'leaving')

/** Admits control hosts that ask to join and removes voters that stay dead, as long as enough voters remain. */
export class AutomaticAdmission implements ReplicaAdmission {
  readonly name = 'automatic'

  nextJoiner (tables: ReplicaAdmissionTables, now: Millis): Replica | null {
    const { group } = tables.replica
    for (const row of tables.joining.rows()) {
      const { replica, host, link } = row
      if (now - row.heardAt > JOIN_REQUEST_TTL_MS || link.port === 0 || containsReplica(group.voters, row)) continue
      if (isAlive(tables.members.get(host))) return { replica, host, link }
    }
    return null
  }

  lostVoter (tables: ReplicaAdmissionTables, now: Millis): Replica | null {
    const { group, self } = tables.replica
    if (group.voters.length <= MIN_VOTERS) return null
    for (const voter of group.voters) {
      if (voter.replica !== self.replica && this.#isLost(tables, voter.host, now)) return voter
    }
    return null
  }

  #isLost (tables: ReplicaAdmissionTables, host: HostId, now: Millis): boolean {
    const row = tables.members.get(host)
    return row !== undefined && row.member.state === 'dead' && now - row.changedAt >= DEAD_VOTER_REMOVAL_DELAY_MS
  }
}

/** Returns the group without one of its voters. */
export const withoutVoter = (group: Group, lost: Replica): Group =>
  ({ voters: group.voters.filter(row => row.replica !== lost.replica), learners: group.learners })

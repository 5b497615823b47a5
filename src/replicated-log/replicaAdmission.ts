/** Policies that decide which replicas join and leave the group. */

import type { HostId, ZoneId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { MembershipTables } from '../membership/types.js'
import type { Group, LogTables, Replica } from './types.js'

/** Tables that an admission policy reads. */
export type ReplicaAdmissionTables = LogTables & Pick<MembershipTables, 'members'>

/** A learner that becomes a voter once the voter that it replaces, if any, has left the group. */
export interface Promotion { readonly learner: Replica, readonly replaces: Replica | null }

/** Decides about changes of the group that no operator has requested. */
export interface ReplicaAdmission {
  readonly name: string
  /** Returns the replicas outside the group that become learners next. */
  newLearners (tables: ReplicaAdmissionTables, now: Millis): readonly Replica[]
  /** Returns the learner that becomes a voter next, and the voter whose place it takes; null if there is none. */
  nextVoter (tables: ReplicaAdmissionTables, now: Millis): Promotion | null
  /** Returns a voter that is presumed lost and should be removed, or null. */
  lostVoter (tables: ReplicaAdmissionTables, now: Millis): Replica | null
}

/** Never changes the group by itself; operators admit replicas. */
export class OperatorAdmission implements ReplicaAdmission {
  readonly name = 'operator'

  newLearners (): readonly Replica[] { return [] }

  nextVoter (): null { return null }

  lostVoter (): null { return null }
}

/** Join requests older than this are ignored; replicas repeat theirs. */
const JOIN_REQUEST_TTL_MS: Millis = 3_000
/** Time for which a voter must be dead before it is removed; removal reduces the quorum that the others need. */
const DEAD_VOTER_REMOVAL_DELAY_MS: Millis = 8_000
/** A voter that has acknowledged nothing for this time may be replaced by a learner that has just joined. */
const VOTER_SILENCE_MS: Millis = 1_000
/** A learner that has acknowledged nothing for this time, several of its heartbeats, is not made a voter. */
const LEARNER_SILENCE_MS: Millis = 2_000
/** A learner that joined longer ago is no sign that a silent voter has been replaced. */
const RECENT_JOIN_MS: Millis = 10_000
/** No voter is removed from a group of this size: fewer voters do not tolerate the loss of two. */
const MIN_VOTERS = 5
/** More voters would make each commit wait for more disks, without tolerating the loss of more zones or regions. */
export const MAX_VOTERS = 9

const containsReplica = (list: readonly Replica[], replica: Replica): boolean => list.some(row => row.replica === replica.replica)

/** Returns the replicas outside the group that have lately asked to join. */
export const waitingReplicas = ({ joining, replica: { group } }: Pick<LogTables, 'joining' | 'replica'>, now: Millis): Replica[] => {
  const waiting: Replica[] = []
  for (const row of joining.rows()) {
    const { replica, host, link } = row
    if (now - row.heardAt > JOIN_REQUEST_TTL_MS || link.port === 0 || containsReplica(group.voters, row) || containsReplica(group.learners, row)) continue
    waiting.push({ replica, host, link })
  }
  return waiting
}

/** Whether a replica has lately acknowledged a message of the leader, or has just been added. */
export const isAnswering = ({ followers }: Pick<LogTables, 'followers'>, { replica }: Replica, now: Millis): boolean => {
  const follower = followers.get(replica)
  return follower !== undefined && now - follower.ackedRoundSentAt < LEARNER_SILENCE_MS
}

/**
 * Admits control hosts that ask to join: all as learners, and up to MAX_VOTERS of them, spread over the availability zones, as
 * voters. A learner that has just joined takes the place of a voter that is silent: it is probably the successor of its host.
 * Removes voters that stay dead, as long as enough remain; a learner then takes the place.
 */
export class AutomaticAdmission implements ReplicaAdmission {
  readonly name = 'automatic'

  // What gossip believes of the host doesn't matter: it may still be about an earlier process, and the request is newer.
  newLearners (tables: ReplicaAdmissionTables, now: Millis): readonly Replica[] {
    return waitingReplicas(tables, now).filter(({ host }) => tables.members.has(host))
  }

  nextVoter (tables: ReplicaAdmissionTables, now: Millis): Promotion | null {
    for (const learner of tables.replica.group.learners) {
      if (!isAnswering(tables, learner, now)) continue
      const promotion = this.#promotionOf(tables, learner, now)
      if (promotion !== null) return promotion
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

  #promotionOf (tables: ReplicaAdmissionTables, learner: Replica, now: Millis): Promotion | null {
    const { voters } = tables.replica.group
    // Takes the place of an earlier replica of its host, whose disk was lost.
    const earlier = voters.find(voter => voter.host === learner.host)
    if (earlier !== undefined) return this.#mayVote(tables, learner, earlier) ? { learner, replaces: earlier } : null
    const joinedAt = tables.followers.get(learner.replica)?.addedAt ?? now
    // A voter that stopped before the learner joined must show as silent, or the group would count both.
    if (voters.length >= MIN_VOTERS && now - joinedAt < VOTER_SILENCE_MS) return null
    const silent = now - joinedAt < RECENT_JOIN_MS ? this.#silentVoters(tables, learner, now) : []
    for (const replaces of [...silent, null]) {
      if (this.#mayVote(tables, learner, replaces)) return { learner, replaces }
    }
    return null
  }

  // Those of the learner's zone first, then the one that has been silent for longest.
  #silentVoters ({ replica, followers, members }: ReplicaAdmissionTables, learner: Replica, now: Millis): Replica[] {
    const zone = members.get(learner.host)?.member.zone
    const ackedAt = (voter: Replica): Millis => followers.get(voter.replica)?.ackedRoundSentAt ?? now
    const zoneRank = (voter: Replica): number => members.get(voter.host)?.member.zone === zone ? 0 : 1
    return replica.group.voters
      .filter(voter => voter.replica !== replica.self.replica && now - ackedAt(voter) >= VOTER_SILENCE_MS)
      .sort((a, b) => zoneRank(a) - zoneRank(b) || ackedAt(a) - ackedAt(b))
  }

  #mayVote ({ replica, members }: ReplicaAdmissionTables, learner: Replica, replaces: Replica | null): boolean {
    const others = replica.group.voters.filter(voter => voter.replica !== replaces?.replica)
    if (others.length >= MAX_VOTERS) return false
    const zones = new Set<ZoneId>()
    for (const { member } of members.rows()) {
      if (member.role === 'control') zones.add(member.zone)
    }
    const zone = members.get(learner.host)?.member.zone
    const inZone = others.filter(voter => members.get(voter.host)?.member.zone === zone).length
    return inZone < Math.ceil(MAX_VOTERS / zones.size)
  }

  #isLost (tables: ReplicaAdmissionTables, host: HostId, now: Millis): boolean {
    const row = tables.members.get(host)
    return row !== undefined && row.member.state === 'dead' && now - row.changedAt >= DEAD_VOTER_REMOVAL_DELAY_MS
  }
}

/** Returns the group without one of its voters. */
export const withoutVoter = (group: Group, lost: Replica): Group =>
  ({ voters: group.voters.filter(row => row.replica !== lost.replica), learners: group.learners })

/** Returns the group with further learners; an earlier learner on the same host is replaced. */
export const withLearners = (group: Group, added: readonly Replica[]): Group => {
  const hosts = new Set(added.map(row => row.host))
  return { voters: group.voters, learners: [...group.learners.filter(row => !hosts.has(row.host)), ...added] }
}

/** Leader election with pre-vote, so that a replica that returns from a long partition doesn't disturb a working leader. */

import type { Millis, System } from '../core/tick.js'
import { NEVER } from '../core/tick.js'
import { appendAsLeader, becomeFollower, drawCampaignRetryAt, drawElectionAt, isVoter, otherReplicas, persistVote, quorumSize, findReplicaOnHost, sendLogMessage } from './replicaSteps.js'
import { ELECTION_TIMEOUT_MS } from './timing.js'
import type { LogInput, LogOutput, LogTick, ReplicaTables } from './replicaSteps.js'
import type { LogMessage } from './types.js'
import type { HostId } from '../core/id.js'

type VoteRequest = Extract<LogMessage, { kind: 'vote-request' }>
type VoteReply = Extract<LogMessage, { kind: 'vote-reply' }>

/** A leader whose disk refuses writes for this time hands over. */
const MAX_LEADING_WITHOUT_DISK_MS: Millis = 5_000

const isLogCurrent = (tables: ReplicaTables, request: VoteRequest): boolean => {
  const { lastTerm, lastIndex } = tables.log
  if (request.lastTerm !== lastTerm) return request.lastTerm > lastTerm
  return request.lastIndex >= lastIndex
}

// Replicas in contact with a leader grant no votes. A leader itself always counts: check-quorum ensures that its quorum replies.
const hasLeader = (tick: LogTick): boolean => {
  const { role, lastLeaderContactAt } = tick.tables.replica
  return role === 'leader' || tick.now - lastLeaderContactAt < ELECTION_TIMEOUT_MS
}

const requestVotes = (tick: LogTick, pre: boolean): void => {
  const { replica, log } = tick.tables
  const term = pre ? replica.term + 1 : replica.term
  for (const other of otherReplicas(tick.tables)) {
    if (!isVoter(tick.tables, other.replica)) continue
    sendLogMessage(tick, other, { kind: 'vote-request', pre, term, replica: replica.self.replica, lastIndex: log.lastIndex, lastTerm: log.lastTerm }, !pre)
  }
}

const campaign = (tick: LogTick, pre: boolean): void => {
  const replica = tick.tables.replica
  replica.role = pre ? 'pre-candidate' : 'candidate'
  replica.leader = null
  replica.electionAt = drawCampaignRetryAt(tick)
  replica.votes.clear()
  if (!pre) {
    replica.term += 1
    replica.votedFor = replica.self.replica
    persistVote(tick)
  }
  replica.votes.add(replica.self.replica)
  requestVotes(tick, pre)
  countVotes(tick)
}

const countVotes = (tick: LogTick): void => {
  const replica = tick.tables.replica
  let votes = 0
  for (const voter of replica.group.voters) {
    if (replica.votes.has(voter.replica)) votes += 1
  }
  if (votes < quorumSize(tick.tables)) return
  if (replica.role === 'pre-candidate') campaign(tick, false)
  else if (replica.role === 'candidate') becomeLeader(tick)
}

const becomeLeader = (tick: LogTick): void => {
  const { replica, followers, log } = tick.tables
  replica.role = 'leader'
  replica.leader = replica.self.host
  replica.nextHeartbeatAt = tick.now
  replica.roundSendTimes.clear()
  followers.clear()
  for (const other of otherReplicas(tick.tables)) {
    followers.put({ replica: other.replica, nextIndex: log.lastIndex + 1, matchIndex: 0, addedAt: tick.now, ackedRoundSentAt: tick.now, sentCommit: 0, inFlightUntil: 0 })
  }
  appendAsLeader(tick, { kind: 'start-of-term' })
}

/** Runs campaigns when the election timer expires and answers vote requests. */
export class ElectionSystem implements System<ReplicaTables, LogInput, LogOutput> {
  readonly name = 'election'

  run (tick: LogTick): void {
    for (const row of tick.inbox) {
      if (row.kind !== 'message') continue
      if (row.message.kind === 'vote-request') this.#answerVoteRequest(tick, row.from, row.message)
      else if (row.message.kind === 'vote-reply') this.#countVoteReply(tick, row.message)
    }
    const replica = tick.tables.replica
    this.#yieldWithoutDisk(tick)
    if (replica.role === 'leader' || tick.now < replica.electionAt) return
    if (isVoter(tick.tables, replica.self.replica) && replica.diskRefusesSince === null) campaign(tick, true)
    else replica.electionAt = drawElectionAt(tick)
  }

  deadline (tables: ReplicaTables): Millis {
    const { role, diskRefusesSince, electionAt } = tables.replica
    if (role !== 'leader') return electionAt
    return diskRefusesSince === null ? NEVER : diskRefusesSince + MAX_LEADING_WITHOUT_DISK_MS
  }

  // A candidate could not make its own vote durable. A leader doesn't need its disk while a quorum of the others has theirs, but
  // the records that wait for it take memory.
  #yieldWithoutDisk (tick: LogTick): void {
    const { role, term, diskRefusesSince } = tick.tables.replica
    if (diskRefusesSince === null) return
    const isCandidate = role === 'candidate' || role === 'pre-candidate'
    const hasLedTooLong = role === 'leader' && tick.now - diskRefusesSince >= MAX_LEADING_WITHOUT_DISK_MS
    if (isCandidate || hasLedTooLong) becomeFollower(tick, term, null)
  }

  #answerVoteRequest (tick: LogTick, from: HostId, request: VoteRequest): void {
    const replica = tick.tables.replica
    const to = findReplicaOnHost(tick.tables, from)
    if (to === undefined || !isVoter(tick.tables, request.replica) || !isVoter(tick.tables, replica.self.replica)) return
    const mayGrantVote = !hasLeader(tick) && isLogCurrent(tick.tables, request)
    if (!request.pre && request.term > replica.term && !hasLeader(tick)) becomeFollower(tick, request.term, null)
    const granted = mayGrantVote && (request.pre
      ? request.term > replica.term
      : request.term === replica.term && (replica.votedFor === null || replica.votedFor === request.replica))
    if (granted && !request.pre && replica.votedFor === null) {
      replica.votedFor = request.replica
      replica.electionAt = drawElectionAt(tick)
      persistVote(tick)
    }
    const term = granted && request.pre ? request.term : replica.term
    sendLogMessage(tick, to, { kind: 'vote-reply', pre: request.pre, term, replica: replica.self.replica, granted }, true)
  }

  #countVoteReply (tick: LogTick, reply: VoteReply): void {
    const replica = tick.tables.replica
    if (!reply.granted) {
      if (reply.term > replica.term) becomeFollower(tick, reply.term, null)
      return
    }
    const isForCurrentCampaign = reply.pre
      ? replica.role === 'pre-candidate' && reply.term === replica.term + 1
      : replica.role === 'candidate' && reply.term === replica.term
    if (!isForCurrentCampaign) return
    replica.votes.add(reply.replica)
    countVotes(tick)
  }
}

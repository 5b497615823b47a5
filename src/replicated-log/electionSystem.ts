/** Elections: pre-vote keeps a host that returns from a long cut from disturbing a working leader. */

import type { Millis, System } from '../core/tick.js'
import { NEVER } from '../core/tick.js'
import { appendOwn, becomeFollower, drawCampaignRetryAt, drawElectionAt, isVoter, otherReplicas, persistVote, quorumSize, replicaAt, sendLog } from './replicaSteps.js'
import { ELECTION_TIMEOUT_MS } from './timing.js'
import type { LogInput, LogOutput, LogTick, ReplicaTables } from './replicaSteps.js'
import type { LogMessage } from './types.js'
import type { HostId } from '../core/id.js'

type VoteRequest = Extract<LogMessage, { kind: 'vote-request' }>
type VoteReply = Extract<LogMessage, { kind: 'vote-reply' }>

const isLogCurrent = (tables: ReplicaTables, request: VoteRequest): boolean => {
  const { lastTerm, lastIndex } = tables.log
  if (request.lastTerm !== lastTerm) return request.lastTerm > lastTerm
  return request.lastIndex >= lastIndex
}

// While a leader is heard nobody else is elected; a leader itself hears from its quorum.
const hasLeader = (tick: LogTick): boolean => {
  const { role, leaderHeardAt } = tick.tables.replica
  return role === 'leader' || tick.now - leaderHeardAt < ELECTION_TIMEOUT_MS
}

const requestVotes = (tick: LogTick, pre: boolean): void => {
  const { replica, log } = tick.tables
  const term = pre ? replica.term + 1 : replica.term
  for (const other of otherReplicas(tick.tables)) {
    if (!isVoter(tick.tables, other.replica)) continue
    sendLog(tick, other, { kind: 'vote-request', pre, term, replica: replica.self.replica, lastIndex: log.lastIndex, lastTerm: log.lastTerm }, !pre)
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
  else if (replica.role === 'candidate') lead(tick)
}

const lead = (tick: LogTick): void => {
  const { replica, followers, log } = tick.tables
  replica.role = 'leader'
  replica.leader = replica.self.host
  replica.nextHeartbeatAt = tick.now
  replica.roundSendTimes.clear()
  followers.clear()
  for (const other of otherReplicas(tick.tables)) {
    followers.put({ replica: other.replica, nextIndex: log.lastIndex + 1, matchIndex: 0, ackedRoundSentAt: tick.now, busyUntil: 0 })
  }
  appendOwn(tick, { kind: 'start-of-term' })
}

/** Starts elections and answers them. */
export class ElectionSystem implements System<ReplicaTables, LogInput, LogOutput> {
  readonly name = 'election'

  run (tick: LogTick): void {
    for (const row of tick.inbox) {
      if (row.kind !== 'message') continue
      if (row.message.kind === 'vote-request') this.#answer(tick, row.from, row.message)
      else if (row.message.kind === 'vote-reply') this.#count(tick, row.message)
    }
    const replica = tick.tables.replica
    if (replica.role === 'leader' || tick.now < replica.electionAt) return
    if (isVoter(tick.tables, replica.self.replica)) campaign(tick, true)
    else replica.electionAt = drawElectionAt(tick)
  }

  deadline (tables: ReplicaTables): Millis {
    return tables.replica.role === 'leader' ? NEVER : tables.replica.electionAt
  }

  #answer (tick: LogTick, from: HostId, request: VoteRequest): void {
    const replica = tick.tables.replica
    const to = replicaAt(tick.tables, from)
    if (to === undefined || !isVoter(tick.tables, request.replica) || !isVoter(tick.tables, replica.self.replica)) return
    const mayFollow = !hasLeader(tick) && isLogCurrent(tick.tables, request)
    if (!request.pre && request.term > replica.term && !hasLeader(tick)) becomeFollower(tick, request.term, null)
    const granted = mayFollow && (request.pre
      ? request.term > replica.term
      : request.term === replica.term && (replica.votedFor === null || replica.votedFor === request.replica))
    if (granted && !request.pre && replica.votedFor === null) {
      replica.votedFor = request.replica
      replica.electionAt = drawElectionAt(tick)
      persistVote(tick)
    }
    const term = granted && request.pre ? request.term : replica.term
    sendLog(tick, to, { kind: 'vote-reply', pre: request.pre, term, replica: replica.self.replica, granted }, true)
  }

  #count (tick: LogTick, reply: VoteReply): void {
    const replica = tick.tables.replica
    if (!reply.granted) {
      if (reply.term > replica.term) becomeFollower(tick, reply.term, null)
      return
    }
    const isWanted = reply.pre
      ? replica.role === 'pre-candidate' && reply.term === replica.term + 1
      : replica.role === 'candidate' && reply.term === replica.term
    if (!isWanted) return
    replica.votes.add(reply.replica)
    countVotes(tick)
  }
}

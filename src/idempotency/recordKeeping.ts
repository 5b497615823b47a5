/** What a home does with claims and with their ends. */

import type { HostId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { MembershipTables } from '../membership/types.js'
import type { RecordPlacement } from './recordPlacement.js'
import type { ClaimVote, RecordMessage, RecordRow, RecordTables } from './types.js'

/** How long a record is kept, and a resend gets the first answer. */
export const RECORD_RETENTION_MS: Millis = 900_000
/** Bound on the difference of two hosts' wall clocks, for the issue times of tickets. */
export const MAX_CLOCK_SKEW_MS: Millis = 2_000

/** Tables that homes work on. */
export type RecordHostTables = RecordTables & Pick<MembershipTables, 'gossip' | 'members'>
type Claim = Extract<RecordMessage, { kind: 'claim' }>

// A host tells "never seen" from "forgotten" by when it started and since when it has been this key's home.
const mayLackRecord = (tables: RecordHostTables, placement: RecordPlacement, claim: Claim, now: Millis): boolean => {
  const { startedAt, changes } = tables.homeHistory
  const self = tables.gossip.self.host
  const idempotencyKey = claim.key.slice(claim.key.indexOf('/') + 1)
  let blankSince = startedAt
  for (const change of changes) {
    if (!placement.recordHosts(change.hosts, claim.key, idempotencyKey).includes(self)) blankSince = Math.max(blankSince, change.at)
  }
  if (now - blankSince >= RECORD_RETENTION_MS) return false
  const isIssuedSince = claim.ticketAgeMs !== null && claim.ticketAgeMs + MAX_CLOCK_SKEW_MS < now - blankSince
  return !isIssuedSince
}

const isOwnerAlive = (tables: RecordHostTables, record: RecordRow): boolean => {
  const member = tables.members.get(record.owner)?.member
  return member !== undefined && member.epoch === record.ownerEpoch && member.state !== 'dead'
}

const voteOnRecord = (tables: RecordHostTables, record: RecordRow, claim: Claim): ClaimVote => {
  if (record.fingerprint !== claim.fingerprint) return { kind: 'mismatch' }
  if (record.claim === claim.claim) return record.state === 'running' ? { kind: 'granted' } : { kind: 'unknown' }
  switch (record.state) {
    case 'finished': return { kind: 'finished', answer: record.answer }
    case 'unknown': return { kind: 'unknown' }
    case 'released': return { kind: 'granted' }
    case 'running': return { kind: isOwnerAlive(tables, record) ? 'running' : 'unknown' }
  }
}

/** Votes on a claim and records it when the vote is a grant. */
export const voteOnClaim = (tables: RecordHostTables, placement: RecordPlacement, from: HostId, claim: Claim, now: Millis): ClaimVote => {
  const record = tables.records.get(claim.key)
  if (record === undefined && mayLackRecord(tables, placement, claim, now)) return { kind: 'abstained' }
  const vote: ClaimVote = record === undefined ? { kind: 'granted' } : voteOnRecord(tables, record, claim)
  if (vote.kind !== 'granted' || record?.claim === claim.claim) return vote
  tables.records.remove(claim.key)
  tables.records.put({
    key: claim.key,
    fingerprint: claim.fingerprint,
    claim: claim.claim,
    owner: from,
    ownerEpoch: claim.ownerEpoch,
    state: 'running',
    answer: null,
    expiresAt: now + RECORD_RETENTION_MS
  })
  return vote
}

/** Notes how a claim ended; an end of another claim changes nothing. */
export const recordClaimEnd = (tables: RecordHostTables, message: Extract<RecordMessage, { kind: 'claim-end' }>, now: Millis): void => {
  const record = tables.records.get(message.key)
  if (record === undefined || record.claim !== message.claim || record.state !== 'running') return
  record.state = message.end.kind
  record.answer = message.end.kind === 'finished' ? message.end.answer : null
  record.expiresAt = now + RECORD_RETENTION_MS
  tables.records.remove(record.key)
  tables.records.put(record)
}

/** Forgets records whose time is over; they lie in the order of their expiry. */
export const expireRecords = (tables: RecordTables, now: Millis): void => {
  for (let oldest = tables.records.first(); oldest !== undefined && oldest.expiresAt <= now; oldest = tables.records.first()) {
    tables.records.remove(oldest.key)
  }
}

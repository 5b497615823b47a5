/** Tables and messages for at-most-once execution: several hosts record a non-idempotent request before it is sent to a backend server. */

import type { ExchangeId, HostId, Id } from '../core/id.js'
import type { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'

/** An idempotency key qualified by its workspace, unique in the fleet. */
export type RecordKey = Id<'Record'>

/** The complete answer to a finished request, which is replayed to a resend. */
export interface RecordedAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[]>>
  readonly body: Uint8Array
}

/** The record of one key at a record host. */
export interface RecordRow {
  readonly key: RecordKey
  readonly fingerprint: string
  /** The exchange that holds the claim; `owner` and `ownerEpoch` identify the process of its entry host. */
  claim: ExchangeId
  owner: HostId
  ownerEpoch: number
  state: 'running' | 'finished' | 'unknown' | 'released'
  answer: RecordedAnswer | null
  expiresAt: Millis
}

/** The vote of a record host on a claim. */
export type ClaimVote =
  | { readonly kind: 'granted' }
  /** The record host started, or became a record host of the key, too recently to exclude an earlier record. */
  | { readonly kind: 'abstained' }
  | { readonly kind: 'running' }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'mismatch' }
  | { readonly kind: 'finished', readonly answer: RecordedAnswer | null }

/** The outcome of a claim. */
export type ClaimEnd =
  | { readonly kind: 'finished', readonly answer: RecordedAnswer | null }
  | { readonly kind: 'unknown' }
  /** The request did not run, and the key may be claimed again. */
  | { readonly kind: 'released' }

/** Messages between entry hosts and record hosts. */
export type RecordMessage =
  | { readonly kind: 'claim', readonly key: RecordKey, readonly fingerprint: string, readonly claim: ExchangeId, readonly ownerEpoch: number, readonly ticketAgeMs: Millis | null }
  | { readonly kind: 'claim-vote', readonly claim: ExchangeId, readonly vote: ClaimVote }
  | { readonly kind: 'claim-end', readonly key: RecordKey, readonly claim: ExchangeId, readonly end: ClaimEnd }

/** The claim of an exchange on this host. */
export interface ClaimRow {
  readonly exchange: ExchangeId
  readonly key: RecordKey
  readonly recordHosts: readonly HostId[]
  readonly votes: Map<HostId, ClaimVote>
  readonly deadline: Millis
  isGranted: boolean
}

/** A change of the set of entry hosts: the time and the previous set. */
export interface EntryHostsChange { readonly at: Millis, readonly hosts: ReadonlyArray<{ readonly host: HostId, readonly zone: string }> }

export interface RecordTables {
  readonly records: RowTable<RecordKey, RecordRow>
  readonly claims: RowTable<ExchangeId, ClaimRow>
  readonly homeHistory: {
    readonly startedAt: Millis
    current: EntryHostsChange['hosts']
    changes: EntryHostsChange[]
    /** Revision of the entry host table that `current` was read from. */
    revision: number
  }
}

/** Replays the recorded answer to a resend. */
export interface AnswerReplayed { readonly kind: 'replay-answer', readonly exchange: ExchangeId, readonly answer: RecordedAnswer }

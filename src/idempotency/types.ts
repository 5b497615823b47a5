/** At most once: a record of each non-idempotent request exists on several hosts before the request goes out. */

import type { ExchangeId, HostId, Id } from '../core/id.js'
import type { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'

/** A workspace's idempotency key, unique in the fleet. */
export type RecordKey = Id<'Record'>

/** A finished answer that a resend gets again, whole. */
export interface RecordedAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[]>>
  readonly body: Uint8Array
}

/** What a home holds about one key. */
export interface RecordRow {
  readonly key: RecordKey
  readonly fingerprint: string
  /** The exchange that was allowed to run, with the life of its entry host. */
  claim: ExchangeId
  owner: HostId
  ownerEpoch: number
  state: 'running' | 'finished' | 'unknown' | 'released'
  answer: RecordedAnswer | null
  expiresAt: Millis
}

/** What a home says to a claim. */
export type ClaimVote =
  | { readonly kind: 'granted' }
  /** The home may have forgotten this key: it has started, or become a home, too recently. */
  | { readonly kind: 'abstained' }
  | { readonly kind: 'running' }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'mismatch' }
  | { readonly kind: 'finished', readonly answer: RecordedAnswer | null }

/** How a claim ended. */
export type ClaimEnd =
  | { readonly kind: 'finished', readonly answer: RecordedAnswer | null }
  | { readonly kind: 'unknown' }
  /** The request certainly did not run; the key may be claimed again. */
  | { readonly kind: 'released' }

/** Messages between entry hosts about records. */
export type RecordMessage =
  | { readonly kind: 'claim', readonly key: RecordKey, readonly fingerprint: string, readonly claim: ExchangeId, readonly ownerEpoch: number, readonly ticketAgeMs: Millis | null }
  | { readonly kind: 'claim-vote', readonly claim: ExchangeId, readonly vote: ClaimVote }
  | { readonly kind: 'claim-end', readonly key: RecordKey, readonly claim: ExchangeId, readonly end: ClaimEnd }

/** A claim of an exchange on this host. */
export interface ClaimRow {
  readonly exchange: ExchangeId
  readonly key: RecordKey
  readonly recordHosts: readonly HostId[]
  readonly votes: Map<HostId, ClaimVote>
  readonly deadline: Millis
  isGranted: boolean
}

/** When the set of entry hosts changed, and what it was before. */
export interface EntryHostsChange { readonly at: Millis, readonly hosts: ReadonlyArray<{ readonly host: HostId, readonly zone: string }> }

/** Tables of records. */
export interface RecordTables {
  readonly records: RowTable<RecordKey, RecordRow>
  readonly claims: RowTable<ExchangeId, ClaimRow>
  readonly homeHistory: {
    readonly startedAt: Millis
    current: EntryHostsChange['hosts']
    changes: EntryHostsChange[]
    /** Size and index of the configuration that `current` was read from. */
    revision: number
  }
}

/** Gives a resend the first answer again. */
export interface AnswerReplayed { readonly kind: 'replay-answer', readonly exchange: ExchangeId, readonly answer: RecordedAnswer }

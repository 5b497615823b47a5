/** Exchanges: one request of a caller from its arrival to its last byte. */

import type { AttemptId, ExchangeId, KeyDigest, RegionId, RouteId, ServiceId, WorkspaceId } from '../core/id.js'
import type { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'
import type { ReportedLoad } from '../announcement/types.js'
import type { Address } from '../core/address.js'
import type { RecordedAnswer } from '../idempotency/types.js'
import type { RankedHost } from '../lookup/types.js'
import type { AffinityTables, Warmth } from '../affinity/types.js'

/** Whether a refused request may have run. */
export type Ran = 'not-run' | 'unknown'

/** Why a request was refused, in the words that callers and scripts read. */
export type RefusalReason =
  | 'service-unknown'
  | 'route-unknown'
  | 'no-region'
  | 'profile-not-approved'
  | 'key-missing'
  | 'key-unknown'
  | 'key-withdrawn'
  | 'configuration-not-loaded'
  | 'configuration-stale'
  | 'over-rate'
  | 'queue-full'
  | 'no-backend'
  | 'shift-capped'
  | 'shed'
  | 'overloaded'
  | 'deadline'
  | 'stopping'
  | 'attempt-failed'
  | 'outcome-unknown'
  | 'earlier-outcome-unknown'
  | 'idempotency-mismatch'
  | 'already-running'
  | 'crash-suspect'

/** What a caller addresses: a service by its name, or whatever the routes of an authority say. */
export type RequestTarget =
  | { readonly kind: 'service', readonly service: ServiceId }
  | { readonly kind: 'route', readonly authority: string }

/** A request whose head (and small body) has arrived. */
export interface RequestReceived {
  readonly kind: 'request'
  readonly exchange: ExchangeId
  readonly target: RequestTarget
  readonly method: string
  readonly path: string
  readonly key: KeyDigest | null
  /** The object that the request concerns, where the caller names one. */
  readonly affinity: string | null
  /** When the edge had read it, by the clock of ticks; null where the edge does not say. */
  readonly readAt?: Millis | null
  /** Whether the process had no rest before it read it, so that it may have waited unread for long. */
  readonly isLate?: boolean
  /** Deadline that the caller asked for, in milliseconds from now; null takes the service's. */
  readonly timeoutMs: Millis | null
  /** Identifies equal requests: method, path and body. */
  readonly fingerprint: string
  /** Whether the body can be sent a second time. */
  readonly replayable: boolean
  readonly idempotencyKey: string | null
  /** Age of the idempotency key by the issue time that its ticket carries; null without a ticket. */
  readonly ticketAgeMs: Millis | null
}

/** How one attempt at a backend server ended, or that its answer has begun. */
export type AttemptResult =
  | { readonly kind: 'head', readonly status: number, readonly shed: boolean, readonly load: ReportedLoad | null }
  | { readonly kind: 'not-sent', readonly reason: string }
  /** Another server has the address; it has not run the request. */
  | { readonly kind: 'misdirected' }
  | { readonly kind: 'lost', readonly reason: string }
  /** The caller has the whole answer; it is kept for resends when it is small. */
  | { readonly kind: 'complete', readonly answer?: RecordedAnswer }
  | { readonly kind: 'cut', readonly reason: string }

/** What became of an attempt, as the edge saw it. */
export interface AttemptReported {
  readonly kind: 'attempt'
  readonly exchange: ExchangeId
  readonly attempt: AttemptId
  readonly result: AttemptResult
}

/** The caller has gone. */
export interface CallerLeft { readonly kind: 'caller-left', readonly exchange: ExchangeId }

/** The process was asked to stop. */
export interface StopRequested { readonly kind: 'stop' }

/** An exchange on this host. */
export interface ExchangeRow {
  readonly exchange: ExchangeId
  readonly service: ServiceId
  readonly method: string
  readonly path: string
  readonly idempotent: boolean
  readonly replayable: boolean
  readonly fingerprint: string
  readonly idempotencyKey: string | null
  readonly ticketAgeMs: Millis | null
  /** Null on routes open to all. */
  readonly workspace: WorkspaceId | null
  /** The route that it came by; null when the caller addressed the service. */
  readonly route: RouteId | null
  /** Rank in its service's queue, 0 first. */
  readonly rank: number
  /** Whether no route of its service is more urgent. */
  readonly isFirstRank: boolean
  /** Time from arrival within which an answer has its full worth. */
  readonly targetMs: Millis
  /** Backend servers that it may be sent to. */
  readonly attemptsAllowed: number
  /** Regions that it may run in; empty allows all. */
  readonly allowedRegions: readonly RegionId[]
  readonly affinity: string | null
  readonly receivedAt: Millis
  readonly deadline: Millis
  phase: 'admission' | 'claiming' | 'queued' | 'running' | 'answering'
  attempt: AttemptId | null
  /** Key of the backend server of the running attempt. */
  backend: string | null
  attempts: number
  /** When the running attempt started. */
  attemptStartedAt: Millis
  /** Requests that were likely to be at its server then. */
  busyAtStart: number
  /** How likely its server was to know the object then. */
  warmth: Warmth
  /** Time that the running attempt is expected to take at a free slot. */
  expectedWorkMs: Millis
  /** Attempts started, those that were shed included; numbers the attempt ids. */
  started: number
  readonly excluded: Set<string>
  /** When a token was granted; null while it waits for one. */
  admittedAt: Millis | null
  /** Whether an attempt may have run; a refusal is then `unknown`. */
  mayHaveRun: boolean
  /** Whether the running attempt is in another region. */
  isAway: boolean
  /** How the shift account has counted this request; an attempt after the first changes it only by going away. */
  placement: 'uncounted' | 'unplaced' | 'home' | 'away'
}

/** Starts an attempt: the edge sends the request to the backend server. */
export interface AttemptStarted {
  readonly kind: 'start-attempt'
  readonly exchange: ExchangeId
  readonly attempt: AttemptId
  readonly backend: string
  readonly target: Address
  readonly workspace: WorkspaceId | null
  /** The server's own name, so that another one at its address refuses the request. */
  readonly backendName: string
  readonly idempotent: boolean
  /** Whether a small answer is to be kept for resends. */
  readonly keepsAnswer: boolean
  readonly timeoutMs: Millis
  /** Time since arrival that went to admission, in milliseconds. */
  readonly admissionMs: Millis
  /** Time since admission that went to the queue and to earlier attempts, in milliseconds. */
  readonly queueMs: Millis
}

/** Hands the head and the body of the attempt's answer to the caller. */
export interface AnswerRelayed { readonly kind: 'relay-answer', readonly exchange: ExchangeId, readonly attempt: AttemptId }

/** Throws the attempt's answer away; its connection is closed if it has not finished. */
export interface AttemptAbandoned { readonly kind: 'abandon-attempt', readonly exchange: ExchangeId, readonly attempt: AttemptId }

/** Cuts the caller's connection: part of an answer must not pass for a whole one. */
export interface AnswerCut { readonly kind: 'cut-answer', readonly exchange: ExchangeId }

/** Refuses the request. */
export interface RequestRefused {
  readonly kind: 'refuse'
  readonly exchange: ExchangeId
  readonly status: number
  readonly reason: RefusalReason
  readonly ran: Ran
  readonly retryAfterMs: Millis | null
  /** Other entry hosts that may serve it. */
  readonly alternatives: readonly RankedHost[]
}

/** Everything that was stopping has finished. */
export interface ShutdownCompleted { readonly kind: 'stopped' }

/** This process's own course: it serves, says that it is leaving, or only finishes what runs. */
export interface Lifecycle {
  phase: 'serving' | 'leaving' | 'stopped'
  leavingAt: Millis
}

/** Time that requests take at a server that is not busy, as far as answers have told. */
export interface WorkTimeRow {
  /** A route, or a service as a whole. */
  readonly key: string
  /** Where the server knows the object. */
  warmMs: Millis
  /** Where it does not. */
  coldMs: Millis
  /** Of all requests together. */
  meanMs: Millis
}

/** Tables of exchanges. */
export interface ExchangeTables extends AffinityTables {
  readonly workTimes: RowTable<string, WorkTimeRow>
  readonly exchanges: RowTable<ExchangeId, ExchangeRow>
  readonly lifecycle: Lifecycle
}

/** Types of exchanges. An exchange is one request of a caller, from its arrival to the last byte of its answer. */

import type { ServerNotice } from '../server-notice/types.js'
import type { AttemptId, ExchangeId, KeyDigest, RegionId, RouteId, ServiceId, WorkspaceId } from '../core/id.js'
import type { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'
import type { ReportedLoad } from '../announcement/types.js'
import type { Address } from '../core/address.js'
import type { RecordedAnswer } from '../idempotency/types.js'
import type { RankedHost } from '../lookup/types.js'
import type { AffinityTables, HomeScope, ObjectAffinity } from '../affinity/types.js'

/** Whether a refused request may have run. */
export type Execution = 'not-run' | 'unknown'

/** Why a request was refused. The values are visible to callers and scripts. */
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
  | 'service-removed'
  | 'servers-paused'
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

/** What a request addresses: a service by name, or an authority whose routes select the service. */
export type RequestTarget =
  | { readonly kind: 'service', readonly service: ServiceId }
  | { readonly kind: 'route', readonly authority: string }

/** A request whose headers, and body if small, have arrived. */
export interface RequestReceived {
  readonly kind: 'request'
  readonly exchange: ExchangeId
  readonly target: RequestTarget
  readonly method: string
  readonly path: string
  readonly key: KeyDigest | null
  /** Key of the object that the request concerns; null if the caller gives none. */
  readonly affinity: string | null
  /** When the edge had read the request, by the tick clock; null if unknown. */
  readonly readAt?: Millis | null
  /** Whether to refuse the request because the process was constantly busy before it read it, so that it may have waited unread for long. */
  readonly isLate?: boolean
  /** Timeout that the caller asked for, limited by that of the route or the service; null if none. */
  readonly timeoutMs: Millis | null
  /** Digest of method, path and body; equal requests have equal fingerprints. */
  readonly fingerprint: string
  /** Whether the body can be sent a second time. */
  readonly replayable: boolean
  readonly idempotencyKey: string | null
  /** Age of the idempotency key, from the issue time in its ticket; null without a ticket. */
  readonly ticketAgeMs: Millis | null
  /** Whether earlier requests on the caller's connection are unanswered. */
  readonly isBehind?: boolean
  /** Time since its head arrived: the body was read, and earlier requests on the caller's connection were waited for. */
  readonly waitedMs?: Millis
}

/** How an attempt at a backend server ended, or that the head of its answer has arrived. */
export type AttemptResult =
  | { readonly kind: 'head', readonly status: number, readonly shed: boolean, readonly load: ReportedLoad | null, /** Whether the whole answer has arrived. */ readonly isWhole: boolean }
  | { readonly kind: 'not-sent', readonly reason: string }
  /** Another server has the address and has not run the request. */
  | { readonly kind: 'misdirected' }
  | { readonly kind: 'lost', readonly reason: string }
  /** The caller has received the whole answer, which is included for replays if it is small. */
  | { readonly kind: 'complete', readonly answer?: RecordedAnswer }
  | { readonly kind: 'cut', readonly reason: string }

/** The result of an attempt, reported by the edge. */
export interface AttemptReported {
  readonly kind: 'attempt'
  readonly exchange: ExchangeId
  readonly attempt: AttemptId
  readonly result: AttemptResult
  /** What the server said about itself, with its key and epoch; absent or null if nothing. */
  readonly notice?: (ServerNotice & { readonly backend: string, readonly epoch: number }) | null
}

/** The caller has disconnected. */
export interface CallerLeft { readonly kind: 'caller-left', readonly exchange: ExchangeId }

/** The process was asked to stop. It is killed after `withinMs`; null if it may take its time. */
export interface StopRequested { readonly kind: 'stop', readonly withinMs?: Millis | null }

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
  /** The route that matched the request; null if the caller addressed the service. */
  readonly route: RouteId | null
  /** Rank in the queue of its service; 0 is the most urgent. */
  readonly rank: number
  /** Rank of the route among the routes of the service; 0 is the most urgent. */
  readonly routeRank: number
  /** Latency target, counted from arrival. */
  readonly targetMs: Millis
  /** Maximum number of attempts; sheds and misdirected attempts do not count. */
  readonly attemptsAllowed: number
  /** Regions that the request may run in; empty allows all. */
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
  /** Estimated outstanding requests at the server at that time. */
  outstandingAtStart: number
  /** How likely the server had the object cached at that time. */
  objectAffinity: ObjectAffinity
  /** When it joined the queue for its next attempt; null while it does not wait. */
  waitingSince: Millis | null
  /** Attempts started, including sheds and misdirected ones; used to number the attempt ids. */
  attemptsStarted: number
  /** Keys of the backend servers that earlier attempts did not succeed on; cleared when no other server is left. */
  readonly excluded: Set<string>
  /** When a rate limit token was granted; null while the request waits for one. */
  admittedAt: Millis | null
  /** Whether an attempt may have run; a refusal then reports `unknown`. */
  mayHaveRun: boolean
  /** Whether the running attempt is in another region. */
  isAway: boolean
  /** Whether its object has one home in the zone or one in the region; decided when the request joins the queue. */
  homeScope: HomeScope
  /** Whether its object has the home in another region, so that running there is no shift. */
  isHomeAway: boolean
  /** How the shift account has counted the request: in the region of its home or not. A retry changes it only if it moves there. */
  placement: 'uncounted' | 'unplaced' | 'home' | 'away'
}

/** Command to the edge to send the request to a backend server. */
export interface AttemptStarted {
  readonly kind: 'start-attempt'
  readonly exchange: ExchangeId
  readonly attempt: AttemptId
  readonly backend: string
  readonly epoch: number
  readonly target: Address
  readonly workspace: WorkspaceId | null
  /** Name of the intended server, so that another server at its address rejects the request. */
  readonly backendName: string
  readonly idempotent: boolean
  /** Whether a small answer is to be kept for replays. */
  readonly keepsAnswer: boolean
  readonly timeoutMs: Millis
  /** Time from arrival to admission. */
  readonly admissionMs: Millis
  /** Time since admission, spent in the queue and on earlier attempts. */
  readonly queueMs: Millis
}

/** Command to the edge to relay the head and the body of the attempt's answer to the caller. */
export interface AnswerRelayed { readonly kind: 'relay-answer', readonly exchange: ExchangeId, readonly attempt: AttemptId }

/** Command to the edge to discard the attempt's answer. Its connection is closed if the attempt has not finished. */
export interface AttemptAbandoned { readonly kind: 'abandon-attempt', readonly exchange: ExchangeId, readonly attempt: AttemptId }

/** Command to the edge to close the caller's connection, so that a partial answer is not mistaken for a complete one. */
export interface AnswerCut { readonly kind: 'cut-answer', readonly exchange: ExchangeId }

/** Command to the edge to refuse the request. */
export interface RequestRefused {
  readonly kind: 'refuse'
  readonly exchange: ExchangeId
  readonly status: number
  readonly reason: RefusalReason
  readonly ran: Execution
  readonly retryAfterMs: Millis | null
  /** Other entry hosts that may serve the request. */
  readonly alternatives: readonly RankedHost[]
}

/** Command to the edge to hold the request back until all earlier ones on the caller's connection are answered. */
export interface RequestDeferred { readonly kind: 'defer-request', readonly exchange: ExchangeId }

/** The graceful shutdown is complete. */
export interface ShutdownCompleted { readonly kind: 'stopped' }

/** Lifecycle of this process: serving, leaving during a graceful shutdown, or stopped. */
export interface Lifecycle {
  phase: 'serving' | 'leaving' | 'stopped'
  leavingAt: Millis
  /** Time by which every exchange must have ended; NEVER if there is no limit. */
  endBy: Millis
}

/** A smoothed work time. Without samples, its mean says nothing. */
export interface WorkTime {
  meanMs: Millis
  /** Mean absolute deviation from the mean. */
  deviationMs: Millis
  samples: number
}

/** Work times of requests at a server with a free slot. */
export interface WorkTimeRow {
  /** A route, a service for requests without a route, or `service/SERVICE` for all requests of a service. */
  readonly key: string
  /** With the object cached. */
  readonly warm: WorkTime
  /** Without the object cached. */
  readonly cold: WorkTime
  readonly all: WorkTime
}

/** The recent requests of one rank for a service. */
export interface RankLoad {
  /** Fraction, 0 to 1, that found others waiting, as of the last request. */
  fraction: number
  /** When the last request joined the queue. */
  joinedAt: Millis
  /** Requests that joined the queue, and those that were sent to a server, as decaying sums. */
  joined: number
  started: number
  countedAt: Millis
}

/** The recent requests for a service by rank. */
export interface CongestionRow {
  readonly service: ServiceId
  readonly ranks: Map<number, RankLoad>
}

/** Recent requests of a service by the rank of their route. */
export interface RankDemandRow {
  readonly service: ServiceId
  /** Requests of each rank, as decaying sums. */
  readonly requests: Map<number, number>
  updatedAt: Millis
}

/** Tables of exchanges, with the lifecycle of the process. */
export interface ExchangeTables extends AffinityTables {
  readonly workTimes: RowTable<string, WorkTimeRow>
  readonly rankDemand: RowTable<ServiceId, RankDemandRow>
  readonly congestion: RowTable<ServiceId, CongestionRow>
  readonly exchanges: RowTable<ExchangeId, ExchangeRow>
  readonly lifecycle: Lifecycle
}

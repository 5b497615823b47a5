/** Plans: everything that callers may ask for, replaced as a whole by the next version. */

import type { KeyDigest, RegionId, RouteId, ServiceId, WorkspaceId } from '../core/id.js'
import type { Millis } from '../core/tick.js'

/** What legal approves: how much traffic may move, where to, and how carefully it leaves. */
export interface ProfileTerms {
  /** Largest part of a service's traffic that may shift within one window, 0 to 1. */
  readonly shiftCap: number
  /** Length of the window that the cap counts over, in milliseconds. */
  readonly shiftWindowMs: number
  /** Regions that traffic may go to; empty allows all. */
  readonly allowedRegions: readonly RegionId[]
  /** How long a leaving backend server may finish its work, in milliseconds. */
  readonly drainMs: number
  /** What a host does with keyed requests once its copy is older than staleAfterMs. */
  readonly whenCutOff: 'serve' | 'refuse'
  /** Age at which a host's copy of the configuration counts as stale, in milliseconds. */
  readonly staleAfterMs: number
}

/** What a backend server bears while it is cold. */
export interface Warmup {
  /** How long a server stays cold after its start, in milliseconds. */
  readonly coldMs: number
  /** Requests a second that a cold server bears from all hosts together. */
  readonly ratePerS: number
}

/** Whether a request may run more than once. */
export type Repetition = 'idempotent' | 'at-most-once'

/** A service's part of a route's requests. */
export interface SplitPart { readonly service: ServiceId, readonly weight: number }

/** Where requests of one authority and path prefix go, and under which bounds. */
export interface Route {
  readonly route: RouteId
  /** The authority that callers address, without a port. */
  readonly authority: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly repetition: Repetition
  /** Longest time that a request is kept waiting. */
  readonly timeoutMs: Millis
  /** Time within which an answer has its full worth. */
  readonly targetMs: Millis
  /** Rank of its requests, 0 first. */
  readonly rank: number
  readonly split: readonly SplitPart[]
  /** Backend servers that one request may be sent to. */
  readonly attempts: number
  /** Whether requests need no key. */
  readonly isOpen: boolean
  /** Whether a server that has handled an object lately is faster for it. */
  readonly hasAffinity: boolean
  /** Regions that its requests may run in; empty allows all. */
  readonly allowedRegions: readonly RegionId[]
}

/** What a plan says of a service. */
export interface PlannedService {
  readonly service: ServiceId
  /** Path of the health probe. */
  readonly healthPath: string
  /** Connections that one of its servers accepts from all hosts together. */
  readonly connections: number
  readonly warmup: Warmup
}

/** What a plan says of a workspace. */
export interface PlannedWorkspace {
  readonly workspace: WorkspaceId
  readonly keys: readonly KeyDigest[]
  readonly rank: number
  /** Requests a second over all hosts together; 0 means no limit. */
  readonly rate: number
  readonly burst: number
  readonly allowedRegions: readonly RegionId[]
}

/** One version of everything that callers may ask for. */
export interface Plan {
  readonly version: number
  /** The terms that its services run under; whoever sends a plan has had them approved. */
  readonly terms: ProfileTerms
  readonly routes: readonly Route[]
  readonly services: readonly PlannedService[]
  readonly workspaces: readonly PlannedWorkspace[]
  /** The operator's own text, for reading it back; null on hosts that only obey it. */
  readonly document: string | null
}

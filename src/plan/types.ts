/** Plans: routes, services and workspaces in one versioned document. Each version replaces the previous one as a whole. */

import type { KeyDigest, RegionId, RouteId, ServiceId, WorkspaceId } from '../core/id.js'
import type { Millis } from '../core/tick.js'

/** The terms of a steering profile, which are subject to legal approval: how much traffic may shift, to which regions, and how it drains. */
export interface ProfileTerms {
  /** Largest fraction of a service's traffic that may shift within one window, 0 to 1. */
  readonly shiftCap: number
  /** Length of the window that the cap applies to, in milliseconds. */
  readonly shiftWindowMs: number
  /** Regions that traffic may go to; empty allows all. */
  readonly allowedRegions: readonly RegionId[]
  /** How long a draining backend server may take to finish its requests, in milliseconds. */
  readonly drainMs: number
  /** Whether a host serves or refuses requests with a key once its configuration is older than staleAfterMs. */
  readonly whenCutOff: 'serve' | 'refuse'
  /** Age from which a host's configuration is stale, in milliseconds since it was last confirmed to be current. */
  readonly staleAfterMs: number
}

/** The load limit of a backend server after a cold start. */
export interface Warmup {
  /** How long a server is cold after its start, in milliseconds. */
  readonly coldMs: number
  /** Requests per second that a cold server accepts from all hosts together. */
  readonly ratePerS: number
}

/** Whether a request may run more than once. */
export type Repetition = 'idempotent' | 'at-most-once'

/** A service's share of a route's requests, in proportion to the weights. */
export interface SplitPart { readonly service: ServiceId, readonly weight: number }

/** The destination and the limits of requests for one authority and path prefix. */
export interface Route {
  readonly route: RouteId
  /** Authority (host name) of the request, without a port. */
  readonly authority: string
  /** Path prefix. Begins and ends with a slash. */
  readonly prefix: string
  readonly repetition: Repetition
  /** Timeout of a request. */
  readonly timeoutMs: Millis
  /** Target latency: an answer within this time has its full value. */
  readonly targetMs: Millis
  /** Priority of its requests; 0 is the highest. */
  readonly rank: number
  readonly split: readonly SplitPart[]
  /** Maximum number of attempts for one request, not counting shed ones. */
  readonly attempts: number
  /** Whether requests are admitted without a key. */
  readonly isOpen: boolean
  /** Whether a server answers faster for an object that it has handled recently. */
  readonly hasAffinity: boolean
  /** Regions that its requests may be sent to; empty allows all. */
  readonly allowedRegions: readonly RegionId[]
}

/** A service as a plan defines it. */
export interface PlannedService {
  readonly service: ServiceId
  /** Path of the health probe. */
  readonly healthPath: string
  /** Maximum number of connections that one of its servers accepts from all hosts together. */
  readonly connections: number
  readonly warmup: Warmup
}

/** A workspace as a plan defines it. */
export interface PlannedWorkspace {
  readonly workspace: WorkspaceId
  readonly keys: readonly KeyDigest[]
  readonly rank: number
  /** Rate limit over all hosts together, in requests per second; 0 means no limit. */
  readonly rate: number
  readonly burst: number
  readonly allowedRegions: readonly RegionId[]
}

/** One version of a plan. */
export interface Plan {
  readonly version: number
  /** The terms of all its services. They must be approved before the plan is sent. */
  readonly terms: ProfileTerms
  readonly routes: readonly Route[]
  readonly services: readonly PlannedService[]
  readonly workspaces: readonly PlannedWorkspace[]
  /** The source text of the plan, which operators can read back; null on hosts that received the plan by gossip. */
  readonly document: string | null
}

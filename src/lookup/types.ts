/** Messages of look-ups, with which callers find the entry hosts to use. */

import type { HostId, Id, RegionId, ServiceId, SiteId, ZoneId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { Address } from '../core/address.js'

/** Identifies a look-up within the process that received it. */
export type LookupId = Id<'Lookup'>

/** The region and zone that a caller states as its own. */
export interface Place { readonly region: RegionId, readonly zone: ZoneId }

/** A caller's look-up. */
export interface LookupReceived {
  readonly kind: 'lookup'
  readonly lookup: LookupId
  /** The service to look up, or null for a look-up by place. */
  readonly service: ServiceId | null
  /** The caller's IPv4 address as a number; null when it is unknown or not IPv4. */
  readonly client: number | null
  /** The place that the caller stated, or null. */
  readonly place: Place | null
}

/** An entry host in an answer, with the address that callers connect to. */
export interface RankedHost {
  readonly host: HostId
  readonly region: RegionId
  readonly zone: ZoneId
  readonly callers: Address
}

/** Why a look-up was rejected. */
export type LookupError =
  | { readonly kind: 'service-unknown', readonly service: ServiceId }
  | { readonly kind: 'no-entry-host' }
  | { readonly kind: 'shift-capped' }

/** The answer to a look-up: entry hosts, best first, and how long the caller may cache them. */
export interface LookupAnswered {
  readonly kind: 'lookup-answer'
  readonly lookup: LookupId
  readonly hosts: readonly RankedHost[]
  readonly ttlMs: Millis
  /** Zone for the ticket that is issued with the answer: the zone of the best host, which stores the idempotency records. */
  readonly ticketZone: string
  readonly error: LookupError | null
}

/** The zone and region of a site. */
export interface SiteLocation {
  readonly site: SiteId
  readonly zone: ZoneId
  readonly region: RegionId
}

/** Look-ups: callers ask which entry hosts to use for a service. */

import type { HostId, Id, RegionId, ServiceId, SiteId, ZoneId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { Address } from '../core/address.js'

/** One look-up at the edge. */
export type LookupId = Id<'Lookup'>

/** A place that a caller names itself. */
export interface Place { readonly region: RegionId, readonly zone: ZoneId }

/** A caller's question. */
export interface LookupReceived {
  readonly kind: 'lookup'
  readonly lookup: LookupId
  /** Null asks for any entry hosts near the caller's place. */
  readonly service: ServiceId | null
  /** The caller's IPv4 address as a number; null when it has none. */
  readonly client: number | null
  /** Where the caller says that it is; null when it does not say. */
  readonly place: Place | null
}

/** An entry host in an answer. */
export interface RankedHost {
  readonly host: HostId
  readonly region: RegionId
  readonly zone: ZoneId
  readonly callers: Address
}

/** Why a look-up has no answer. */
export type LookupError =
  | { readonly kind: 'service-unknown', readonly service: ServiceId }
  | { readonly kind: 'no-entry-host' }
  | { readonly kind: 'shift-capped' }

/** Entry hosts, best first, and how long a caller may go on using the answer. */
export interface LookupAnswered {
  readonly kind: 'lookup-answer'
  readonly lookup: LookupId
  readonly hosts: readonly RankedHost[]
  readonly ttlMs: Millis
  /** Zone of the best host: the records of requests under the answer's ticket are kept there. */
  readonly ticketZone: string
  readonly error: LookupError | null
}

/** Where a site lies. */
export interface SiteLocation {
  readonly site: SiteId
  readonly zone: ZoneId
  readonly region: RegionId
}

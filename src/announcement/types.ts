/** Backend servers announce themselves; there is no list of them. */

import type { BackendId, ExchangeId, RegionId, ServiceId, ZoneId } from '../core/id.js'
import type { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'
import type { Address } from '../core/address.js'

/** What a backend server says of itself, as it spreads between hosts. */
export interface Announcement {
  readonly service: ServiceId
  readonly backend: BackendId
  readonly region: RegionId
  readonly zone: ZoneId
  readonly target: Address
  readonly slots: number
  /** Start of the server's process, in wall-clock milliseconds. */
  readonly epoch: number
  /** Raised by the server with each announcement. */
  readonly sequence: number
  readonly state: 'up' | 'draining' | 'gone'
  /** How much longer the server bears little load after its start, from when this was said. */
  readonly coldMs: Millis
}

/** A backend server as this host sees it. */
export interface BackendRow {
  readonly key: string
  announcement: Announcement
  /** When the server itself last spoke to this host; null when only others told of it. */
  heardAt: Millis | null
  /** When this host first saw the present epoch. */
  firstSeenAt: Millis
  /** Attempts of this host that are running there. */
  inFlight: number
  /** The suspect that runs there alone, by this host's doing. */
  reservedFor: ExchangeId | null
  /** No new work before this time, after failures seen here. */
  ejectedUntil: Millis
  consecutiveFailures: number
  /** No new work before this time, after a shed. */
  shedUntil: Millis
  /** Sheds in a row; each doubles the pause after it. */
  shedStreak: number
  /** No more than its warm-up rate before this time. */
  coldUntil: Millis
  /** When this host sent to it while it was cold, within the last second. */
  coldSendTimes: Millis[]
  /** What other hosts keep busy there, smoothed over what its answers say; 0 while they say nothing. */
  otherHostsLoad: number
  /** Since when requests of this host have run there without any answer; null while none runs. */
  unansweredSince: Millis | null
  /** When an answer last told the server's load. */
  loadReportedAt: Millis
  /** Time that its answers take against what was expected of them, smoothed; 1 for an ordinary server. */
  slowness: number
  /** When an answer last told that. */
  slownessUpdatedAt: Millis
}

/** What a backend server's answer says of its load. */
export interface ReportedLoad { readonly running: number, readonly waiting: number, readonly slots: number }

/** Tables of backend servers. */
export interface AnnouncementTables {
  readonly backends: RowTable<string, BackendRow>
}

/** A server's own announcement, received on an authenticated connection. */
export interface AnnouncementReceived {
  readonly kind: 'announcement'
  readonly announcement: Announcement
}

/** Tables and messages of backend servers, which register by announcing themselves. */

import type { BackendId, ExchangeId, HostId, RegionId, ServiceId, ZoneId } from '../core/id.js'
import type { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'
import type { Address } from '../core/address.js'

/** The announcement of a backend server, which spreads between hosts by gossip. */
export interface Announcement {
  readonly service: ServiceId
  readonly backend: BackendId
  readonly region: RegionId
  readonly zone: ZoneId
  readonly target: Address
  readonly slots: number
  /** Start of the server's process, in wall-clock milliseconds. */
  readonly epoch: number
  /** Increased by the server with each announcement. */
  readonly sequence: number
  readonly state: 'up' | 'draining' | 'gone'
  /** Remaining time of the cold start when the announcement was sent. */
  readonly coldMs: Millis
}

/** The state of a backend server on this host. */
export interface BackendRow {
  readonly key: string
  announcement: Announcement
  /** When this host last received an announcement or a report of the server; null when the server is known by gossip only. */
  heardAt: Millis | null
  /** The control host that the server reports to: this one, or the last one that passed on a report; null when it is unknown. */
  reportsTo: HostId | null
  /** When this host first received the current epoch. */
  firstSeenAt: Millis
  /** Hash of the key, by which objects rank the servers. */
  readonly hash: number
  /** Key and epoch: a restarted server has an empty cache. */
  processKey: string
  /** Whether this host is one of the few that may send to the server while it is cold, and the revision of the members it was found for. */
  coldSender: { readonly membersRevision: number, readonly isSender: boolean } | null
  /** Number of this host's attempts that are running there. */
  inFlight: number
  /** The suspect request for which this host reserves the server, so that it runs in isolation. */
  reservedFor: ExchangeId | null
  /** End of an outlier ejection after consecutive failures on this host. */
  ejectedUntil: Millis
  consecutiveFailures: number
  /** Epoch in which the server has said that it leaves; it gets no new requests in that epoch, whatever else is heard of it. */
  leavingEpoch: number | null
  /** End of the pause for which the server has asked this host. */
  pausedUntil: Millis
  /** End of the backoff after the server shed a request. */
  shedUntil: Millis
  /** Number of consecutive sheds; each doubles the next backoff, up to a limit. */
  shedStreak: number
  /** End of the cold start. Until then the warm-up rate limits its requests. */
  coldUntil: Millis
  /** Send times of this host's requests to the cold server within the last second. */
  coldSendTimes: Millis[]
  /** Requests of other hosts at the server, smoothed over the load that its last answers report; 0 until an answer reports load. */
  otherHostsLoad: number
  /** The same, smoothed over a longer time. */
  usualOthersLoad: number
  /** Time that its answers take, smoothed. Its load changes within that time. */
  answerMs: Millis
  /** Time of the last answer, or of the first request after the server was idle; null while no request of this host runs there. */
  unansweredSince: Millis | null
  /** When an answer last reported the server's load; 0 while none has. */
  loadReportedAt: Millis
  /** Ratio of the measured to the expected time of its answers, smoothed; 1 for an average server. */
  slowness: number
  /** When `slowness` was last updated. */
  slownessUpdatedAt: Millis
}

/** The load that a backend server reports in its answers. */
export interface ReportedLoad { readonly running: number, readonly waiting: number, readonly slots: number }

export interface AnnouncementTables {
  readonly backends: RowTable<string, BackendRow>
}

/** An announcement received from the server itself on an authenticated connection. */
export interface AnnouncementReceived {
  readonly kind: 'announcement'
  readonly announcement: Announcement
}

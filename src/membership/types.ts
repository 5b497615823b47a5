/** Types of membership and gossip. */

import type { Address } from '../core/address.js'
import type { BackendId, HostId, KeyDigest, RegionId, ServiceId, SiteId, ZoneId } from '../core/id.js'
import type { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'
import type { Change, ConfigurationSnapshot, LogIndex } from '../configuration/types.js'
import type { Suspicion } from '../suspicion/types.js'
import type { Announcement } from '../announcement/types.js'

/** Role of a process in the fleet. */
export type HostRole = 'entry' | 'control'

/** Public record of a host, spread by gossip. */
export interface Member {
  readonly host: HostId
  readonly role: HostRole
  readonly region: RegionId
  readonly zone: ZoneId
  readonly site: SiteId
  readonly link: Address
  /** Address at which an entry host accepts requests of callers; null on control hosts. */
  readonly callers: Address | null
  /** Start time of the process in wall-clock milliseconds; a restarted process has a higher epoch. */
  readonly epoch: number
  /** Incremented only by the host itself, to refute a suspicion. */
  readonly incarnation: number
  readonly state: 'alive' | 'leaving' | 'suspect' | 'dead'
}

/** A member with the local observations about it. */
export interface MemberRow {
  member: Member
  /** Local time of the last change of the record. */
  changedAt: Millis
  /** Newest configuration index that the member has reported as in force. */
  index: LogIndex
}

/** A leader's confirmation, backed by a quorum, that `index` was the newest committed index. */
export interface Vouch {
  readonly index: LogIndex
  readonly term: number
  readonly sequence: number
  /** Time since the leader confirmed it, in milliseconds, excluding time on the network. */
  readonly ageMs: Millis
}

/** An update that spreads by gossip. */
export type Rumor =
  | { readonly topic: 'member', readonly member: Member }
  | { readonly topic: 'announcement', readonly announcement: Announcement }
  | { readonly topic: 'withdrawal', readonly digest: KeyDigest }
  | { readonly topic: 'change', readonly change: Change }
  | { readonly topic: 'vouch', readonly vouch: Vouch }
  | { readonly topic: 'suspicion', readonly suspicion: Suspicion }

/** A rumor that is queued for sending. */
export interface RumorRow {
  readonly key: string
  readonly rumor: Rumor
  readonly heardAt: Millis
  /** Host that the rumor came from; null when this host originated it. */
  readonly from: HostId | null
  /** Retransmissions with later probes that remain. */
  remainingSends: number
}

/** Reports that a backend server has announced itself to a control host. */
export interface Report {
  readonly service: ServiceId
  readonly backend: BackendId
  readonly epoch: number
  readonly sequence: number
}

/** Gossip messages between hosts. */
export type GossipMessage =
  | { readonly kind: 'probe', readonly sequence: number, readonly index: LogIndex, readonly rumors: readonly Rumor[] }
  | { readonly kind: 'probe-reply', readonly sequence: number, readonly index: LogIndex, readonly rumors: readonly Rumor[] }
  | { readonly kind: 'rumors', readonly rumors: readonly Rumor[] }
  | { readonly kind: 'sync', readonly reply: boolean, readonly digests: readonly number[], readonly vouch: Vouch | null }
  | { readonly kind: 'in-force', readonly index: LogIndex }
  | { readonly kind: 'reports', readonly reports: readonly Report[] }
  | { readonly kind: 'fetch', readonly after: LogIndex }
  | { readonly kind: 'changes', readonly changes: readonly Change[] }
  | { readonly kind: 'snapshot', readonly snapshot: ConfigurationSnapshot }

/** A probe without a reply so far. */
export interface ProbeRow {
  readonly host: HostId
  /** Epoch of the process that was probed. */
  readonly epoch: number
  readonly sequence: number
  readonly sentAt: Millis
}

/** A host that a starting process contacts to join the fleet. */
export interface Seed { readonly host: HostId, readonly link: Address }

/** When this process last ran, and the last time that it did not. */
export interface Stall {
  /** Time of the last tick. */
  ranAt: Millis
  /** Time of the last tick before the process stalled. */
  since: Millis
  /** Until then messages may have arrived at any time since the process stalled. */
  backlogUntil: Millis
}

/** Gossip state of the local host. */
export interface GossipState {
  self: Member
  nextProbeAt: Millis
  nextSyncAt: Millis
  sequence: number
  /** The newest vouch, and the local time at which its index was confirmed as the newest. */
  vouch: Vouch | null
  vouchedAt: Millis
  /** The host that sent the newest vouch, which has the changes up to its index or soon will; null before the first. */
  vouchedBy: HostId | null
  /** The host that sent the newest change or snapshot; null on control hosts, which have their own log. */
  configurationFrom: HostId | null
  /** When the local configuration was last confirmed as the newest; null after a start until the first confirmation. */
  confirmedAt: Millis | null
  /** Index that was last reported to the control hosts, and the repeats that remain, as a report may be lost. */
  reportedIndex: LogIndex
  reportsLeft: number
  /** True on control hosts, which apply changes only from their own log. */
  readonly isAuthority: boolean
  readonly stall: Stall
  /** Time before which no control host is asked for a vouch again, and the number of questions since the last one arrived. */
  nextAskAt: Millis
  askCount: number
  /** Due time of the next fetch of missing configuration changes. */
  fetchAt: Millis
  /** Hosts to contact while they are not in the member table. */
  readonly seeds: readonly Seed[]
  /** Estimated round-trip time to each region. */
  readonly roundTrips: Map<RegionId, Millis>
}

export interface MembershipTables {
  readonly members: RowTable<HostId, MemberRow>
  readonly rumors: RowTable<string, RumorRow>
  readonly probes: RowTable<HostId, ProbeRow>
  readonly gossip: GossipState
}

/** A message from another host, whose identity the link has authenticated. */
export interface MessageReceived<M> {
  readonly kind: 'message'
  readonly from: HostId
  readonly message: M
}

/** A message to be sent to another host. */
export interface MessageSent<M> {
  readonly kind: 'send'
  readonly to: HostId
  readonly address: Address
  readonly message: M
}

/** Closes a link whose host doesn't reply, so that it is reopened. */
export interface LinkDropped { readonly kind: 'drop-link', readonly to: HostId }

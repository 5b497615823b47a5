/** Members of the fleet and the rumors that they pass on. */

import type { Address } from '../core/address.js'
import type { BackendId, HostId, KeyDigest, RegionId, ServiceId, SiteId, ZoneId } from '../core/id.js'
import type { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'
import type { Change, ConfigurationSnapshot, LogIndex } from '../configuration/types.js'
import type { Suspicion } from '../suspicion/types.js'
import type { Announcement } from '../announcement/types.js'

/** What a process does in the fleet. */
export type HostRole = 'entry' | 'control'

/** What a host knows about another one. */
export interface Member {
  readonly host: HostId
  readonly role: HostRole
  readonly region: RegionId
  readonly zone: ZoneId
  readonly site: SiteId
  readonly link: Address
  /** Where callers reach an entry host; null on control hosts. */
  readonly callers: Address | null
  /** Start of the process, in wall-clock milliseconds; a replaced process is newer than the one before. */
  readonly epoch: number
  /** Raised by the host itself to refute a suspicion. */
  readonly incarnation: number
  readonly state: 'alive' | 'leaving' | 'suspect' | 'dead'
}

/** A member with what this host alone knows about it. */
export interface MemberRow {
  member: Member
  /** When the state last changed here. */
  changedAt: Millis
  /** The newest configuration that the member said is in force there; control hosts hear it. */
  index: LogIndex
}

/** A leader's statement that its quorum held this index as the newest. */
export interface Vouch {
  readonly index: LogIndex
  readonly term: number
  readonly sequence: number
  /** Time since the leader knew it, in milliseconds, without the time on the wire. */
  readonly ageMs: Millis
}

/** A piece of news that spreads from host to host. */
export type Rumor =
  | { readonly topic: 'member', readonly member: Member }
  | { readonly topic: 'announcement', readonly announcement: Announcement }
  | { readonly topic: 'withdrawal', readonly digest: KeyDigest }
  | { readonly topic: 'change', readonly change: Change }
  | { readonly topic: 'vouch', readonly vouch: Vouch }
  | { readonly topic: 'suspicion', readonly suspicion: Suspicion }

/** A rumor that is still being passed on. */
export interface RumorRow {
  readonly key: string
  readonly rumor: Rumor
  readonly heardAt: Millis
  remainingSends: number
}

/** That a backend server has announced itself to some control host. */
export interface Report {
  readonly service: ServiceId
  readonly backend: BackendId
  readonly epoch: number
  readonly sequence: number
}

/** Messages of membership between hosts. */
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

/** A probe that waits for its reply. */
export interface ProbeRow {
  readonly host: HostId
  readonly sequence: number
  readonly sentAt: Millis
}

/** A host that a new process contacts first. */
export interface Seed { readonly host: HostId, readonly link: Address }

/** This host's own state in the gossip. */
export interface GossipState {
  self: Member
  nextProbeAt: Millis
  nextSyncAt: Millis
  sequence: number
  /** The newest vouch, and when its index was known to be the newest. */
  vouch: Vouch | null
  vouchedAt: Millis
  /** When this host's copy of the configuration was last known to be the newest; null since the start until a peer has vouched for it. */
  confirmedAt: Millis | null
  /** The index that this host last told the control hosts, and how often it tells them again: the first time may be lost. */
  reportedIndex: LogIndex
  reportsLeft: number
  /** Control hosts take changes from their own log only. */
  readonly isAuthority: boolean
  /** When the next fetch of missing changes is due. */
  fetchAt: Millis
  /** Hosts to ask while no member is known. */
  readonly seeds: readonly Seed[]
  /** Time to each region and back. */
  readonly roundTrips: Map<RegionId, Millis>
}

/** Tables of membership. */
export interface MembershipTables {
  readonly members: RowTable<HostId, MemberRow>
  readonly rumors: RowTable<string, RumorRow>
  readonly probes: RowTable<HostId, ProbeRow>
  readonly gossip: GossipState
}

/** A message that arrived from another host whose identity was proved. */
export interface MessageReceived<M> {
  readonly kind: 'message'
  readonly from: HostId
  readonly message: M
}

/** A message for another host. */
export interface MessageSent<M> {
  readonly kind: 'send'
  readonly to: HostId
  readonly address: Address
  readonly message: M
}

/** A link that has gone silent and must be dialled anew. */
export interface LinkDropped { readonly kind: 'drop-link', readonly to: HostId }

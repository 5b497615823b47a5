/** Types of the configuration, which operators change and every host replicates. */

import type { BackendId, HostId, Id, KeyDigest, OperatorId, ProfileId, RegionId, RequestId, ServiceId, SiteId, WorkspaceId, ZoneId } from '../core/id.js'
import type { Plan, ProfileTerms, Warmup } from '../plan/types.js'

/** Position of a change in the log. The index of a host's configuration never decreases. */
export type LogIndex = number

/** One version of a steering profile. Its terms are immutable. */
export interface ProfileVersion {
  readonly profile: ProfileId
  readonly version: number
  readonly terms: ProfileTerms
  readonly author: OperatorId
  readonly approver: OperatorId | null
}

/** A service and the approved profile version that applies to it. */
export interface Service {
  readonly service: ServiceId
  readonly version: number
  readonly profile: ProfileId
  readonly profileVersion: number
  /** Default timeout of a request, in milliseconds. */
  readonly timeoutMs: number
  /** Paths on which requests need no key. */
  readonly openPaths: readonly string[]
  /** Load limit of its servers after a cold start; null when it is not configured. */
  readonly warmup: Warmup | null
}

/** A workspace with its rate limit and its weight in the queues. */
export interface Workspace {
  readonly workspace: WorkspaceId
  readonly version: number
  /** Rate limit over all hosts together, in requests per second. */
  readonly rate: number
  /** Burst over all hosts together, in requests. */
  readonly burst: number
  /** Share of backend slots relative to other workspaces when slots are scarce. */
  readonly weight: number
  /** Priority of its requests, 0 is the highest; null leaves the priority to the route. */
  readonly rank: number | null
  /** Regions that its requests may be sent to; empty allows all. */
  readonly allowedRegions: readonly RegionId[]
}

/** A key, identified by its digest. A withdrawn key is kept, so that it cannot be given again. */
export interface KeyGrant {
  readonly digest: KeyDigest
  readonly workspace: WorkspaceId
  readonly state: 'given' | 'withdrawn'
}

/** A registered entry host with its share of every workspace's rate limit. */
export interface EntryHost {
  readonly host: HostId
  readonly region: RegionId
  readonly zone: ZoneId
  readonly site: SiteId
  /** Share of every workspace's rate and burst, out of ALLOWANCE_PARTS. */
  readonly parts: number
}

/** Number of parts into which a workspace's rate limit is divided among the entry hosts. */
export const ALLOWANCE_PARTS = 10_000

/** A backend server that operators are draining. */
export interface Drain {
  readonly service: ServiceId
  readonly backend: BackendId
}

/** One incarnation of a backend server that announced its shutdown and gets no new requests. */
export interface Retirement {
  /** Null if the control host that the server told of it knew no service for it; the server's process is meant all the same. */
  readonly service: ServiceId | null
  readonly backend: BackendId
  /** Start of the server's process, in wall-clock milliseconds. */
  readonly epoch: number
}

/** An availability zone whose backend servers get no new requests. */
export interface Evacuation { readonly zone: ZoneId }

/** The commands that operators can send. */
export type Command =
  | { readonly kind: 'draft-profile', readonly profile: ProfileId, readonly expectedVersion: number, readonly terms: ProfileTerms }
  | { readonly kind: 'approve-profile', readonly profile: ProfileId, readonly version: number }
  | { readonly kind: 'put-service', readonly service: ServiceId, readonly expectedVersion: number, readonly profile: ProfileId, readonly profileVersion: number, readonly timeoutMs: number, readonly openPaths: readonly string[] }
  | { readonly kind: 'put-workspace', readonly workspace: WorkspaceId, readonly expectedVersion: number, readonly rate: number, readonly burst: number, readonly weight: number }
  | { readonly kind: 'give-key', readonly digest: KeyDigest, readonly workspace: WorkspaceId }
  | { readonly kind: 'withdraw-key', readonly digest: KeyDigest }
  | { readonly kind: 'start-drain', readonly service: ServiceId, readonly backend: BackendId }
  | { readonly kind: 'end-drain', readonly service: ServiceId, readonly backend: BackendId }
  | { readonly kind: 'register-host', readonly entryHost: EntryHost }
  | { readonly kind: 'remove-host', readonly host: HostId }
  | { readonly kind: 'put-plan', readonly plan: Plan }
  | { readonly kind: 'start-evacuation', readonly zone: ZoneId }
  | { readonly kind: 'end-evacuation', readonly zone: ZoneId }
  | { readonly kind: 'retire-backend', readonly retirement: Retirement }

/** A permission of an operator. */
export type Role = 'draft' | 'approve' | 'assign'

/** A command with its operator. A resend with the same request id returns the first outcome. */
export interface CommandEnvelope {
  readonly requestId: RequestId
  readonly operator: OperatorId
  readonly roles: readonly Role[]
  readonly command: Command
}

/** Why a command was rejected. A rejected command changes nothing. */
export type CommandError =
  | { readonly kind: 'role-missing', readonly role: Role }
  | { readonly kind: 'version-conflict', readonly expected: number, readonly current: number }
  | { readonly kind: 'not-found', readonly what: string }
  | { readonly kind: 'not-approved', readonly profile: ProfileId, readonly version: number }
  | { readonly kind: 'own-draft' }
  | { readonly kind: 'already-approved', readonly approver: OperatorId }
  | { readonly kind: 'key-withdrawn' }
  | { readonly kind: 'key-taken' }
  | { readonly kind: 'parts-exhausted', readonly free: number }
  | { readonly kind: 'parts-in-use', readonly held: number }
  | { readonly kind: 'request-id-reused' }

/** The result of an applied command. */
export interface CommandReceipt {
  readonly index: LogIndex
  /** The version of the changed entity; 0 for entities without versions. */
  readonly version: number
}

/** The first outcome of an operator's request, kept for resends. */
export interface CommandRecord {
  readonly key: Id<'CommandRecord'>
  readonly fingerprint: string
  readonly receipt: CommandReceipt | null
  readonly error: CommandError | null
}

/** One committed log entry. The envelope is null for entries without a command. */
export interface Change {
  readonly index: LogIndex
  readonly envelope: CommandEnvelope | null
}

/** A snapshot of the whole configuration as plain rows. */
export interface ConfigurationSnapshot {
  readonly index: LogIndex
  readonly profiles: readonly ProfileVersion[]
  readonly services: readonly Service[]
  readonly workspaces: readonly Workspace[]
  readonly keys: readonly KeyGrant[]
  readonly entryHosts: readonly EntryHost[]
  readonly drains: readonly Drain[]
  readonly records: readonly CommandRecord[]
  readonly plan: Plan | null
  readonly evacuations: readonly Evacuation[]
  readonly retirements: readonly Retirement[]
}

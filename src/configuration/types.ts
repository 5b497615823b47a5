/** The configuration that operators change and every host holds a copy of. */

import type { BackendId, HostId, Id, KeyDigest, OperatorId, ProfileId, RegionId, RequestId, ServiceId, SiteId, WorkspaceId, ZoneId } from '../core/id.js'
import type { Plan, ProfileTerms, Warmup } from '../plan/types.js'

/** The position of a change in the log; a host's configuration never goes back to a smaller one. */
export type LogIndex = number

/** One version of a steering profile; its terms never change. */
export interface ProfileVersion {
  readonly profile: ProfileId
  readonly version: number
  readonly terms: ProfileTerms
  readonly author: OperatorId
  readonly approver: OperatorId | null
}

/** A service and the approved profile that it runs under. */
export interface Service {
  readonly service: ServiceId
  readonly version: number
  readonly profile: ProfileId
  readonly profileVersion: number
  /** Default deadline of a request, in milliseconds. */
  readonly timeoutMs: number
  /** Paths that need no key. */
  readonly openPaths: readonly string[]
  /** What its servers bear right after a start; null when nobody has said. */
  readonly warmup: Warmup | null
}

/** A tenant with its share of the fleet. */
export interface Workspace {
  readonly workspace: WorkspaceId
  readonly version: number
  /** Requests a second over all hosts together. */
  readonly rate: number
  /** Requests that may come at once over all hosts together. */
  readonly burst: number
  /** Share of backend slots under scarcity, relative to other workspaces. */
  readonly weight: number
  /** Rank of its requests, 0 first; null leaves the rank to the route. */
  readonly rank: number | null
  /** Regions that its requests may run in; empty allows all. */
  readonly allowedRegions: readonly RegionId[]
}

/** A key by its digest; a withdrawn key is kept so that no older grant revives it. */
export interface KeyGrant {
  readonly digest: KeyDigest
  readonly workspace: WorkspaceId
  readonly state: 'given' | 'withdrawn'
}

/** An entry host that holds a part of every workspace's allowance. */
export interface EntryHost {
  readonly host: HostId
  readonly region: RegionId
  readonly zone: ZoneId
  readonly site: SiteId
  /** Its part of every workspace's rate and burst, out of ALLOWANCE_PARTS. */
  readonly parts: number
}

/** The whole of a workspace's allowance, in parts that are divided among the entry hosts. */
export const ALLOWANCE_PARTS = 10_000

/** A backend server that operators want empty. */
export interface Drain {
  readonly service: ServiceId
  readonly backend: BackendId
}

/** One life of a backend server that gets no new work any more, since it said that it leaves. */
export interface Retirement {
  readonly service: ServiceId
  readonly backend: BackendId
  /** Start of the server's process, in wall-clock milliseconds. */
  readonly epoch: number
}

/** An availability zone whose backend servers get no new work. */
export interface Evacuation { readonly zone: ZoneId }

/** What an operator may ask for. */
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

/** What an operator is allowed to do. */
export type Role = 'draft' | 'approve' | 'assign'

/** A command with who asked for it; the request id makes a resend return the first outcome. */
export interface CommandEnvelope {
  readonly requestId: RequestId
  readonly operator: OperatorId
  readonly roles: readonly Role[]
  readonly command: Command
}

/** Why a command changed nothing. */
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

/** What a command that took force did. */
export interface CommandReceipt {
  readonly index: LogIndex
  /** The version of the changed entity; 0 for entities without versions. */
  readonly version: number
}

/** The first outcome of an operator's request, kept for its resends. */
export interface CommandRecord {
  readonly key: Id<'CommandRecord'>
  readonly fingerprint: string
  readonly receipt: CommandReceipt | null
  readonly error: CommandError | null
}

/** One committed change in the order of the log. */
export interface Change {
  readonly index: LogIndex
  readonly envelope: CommandEnvelope | null
}

/** The whole configuration as plain rows, for snapshots. */
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

/** Admission: each workspace's rate and burst over the whole fleet. */

import type { AllowanceParts } from './allowanceParts.js'
import type { HostId, WorkspaceId } from '../core/id.js'
import type { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'

/** Tokens that this host has lent and must not count as free before the end. */
export interface Loan { readonly ask: string, readonly amount: number, readonly endsAt: Millis }

/** Tokens that another host lent to this one. */
export interface Credit { readonly lender: HostId, readonly ask: string, amount: number, readonly endsAt: Millis }

/** A credit that will not be spent any further, and what is left of it. */
export interface Settlement { readonly ask: string, readonly unspent: number }

/** What this host last heard of a lender. */
export interface LenderBalance {
  readonly host: HostId
  left: number
  heardAt: Millis
}

/** This host's part of one workspace's allowance. */
export interface AllowanceRow {
  readonly workspace: WorkspaceId
  /** Tokens a second that this host's part earns. */
  rate: number
  /** Most tokens that this host's part holds, lent ones included. */
  burst: number
  tokens: number
  refilledAt: Millis
  loans: Loan[]
  credits: Credit[]
  readonly lenders: Map<HostId, LenderBalance>
  /** Settled credits that their lenders have not been told of. */
  readonly settlements: Map<HostId, Settlement[]>
  /** Requests a second here, smoothed. */
  demand: number
  arrivalsSinceUpdate: number
  demandUpdatedAt: Millis
  nextAskAt: Millis
  /** Requests for tokens that are not answered yet, with their times; a doubled or late grant finds none. */
  readonly pendingAsks: Map<string, Millis>
  askCount: number
  /** When a round of asking last came back without a token. */
  exhaustedAt: Millis
  /** Requests held here until tokens come. */
  held: number
}

/** Messages between hosts about tokens. */
export type AllowanceMessage =
  | { readonly kind: 'token-request', readonly workspace: WorkspaceId, readonly amount: number, readonly ask: string, readonly settled: readonly Settlement[] }
  | { readonly kind: 'token-settlement', readonly workspace: WorkspaceId, readonly settled: readonly Settlement[] }
  | { readonly kind: 'token-grant', readonly workspace: WorkspaceId, readonly amount: number, readonly left: number, readonly ask: string }

/** Tables of admission. */
export interface AdmissionTables {
  readonly allowances: RowTable<WorkspaceId, AllowanceRow>
  readonly parts: AllowanceParts
}

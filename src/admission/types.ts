/** Tables and messages of admission, which enforces each workspace's rate and burst over the whole fleet. */

import type { AllowanceParts } from './allowanceParts.js'
import type { HostId, WorkspaceId } from '../core/id.js'
import type { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'

/** Tokens that this host has lent. They count against its burst until the loan expires or is settled. */
export interface Loan { readonly ask: string, readonly amount: number, readonly endsAt: Millis }

/** Tokens that this host has borrowed. */
export interface Credit { readonly lender: HostId, readonly ask: string, amount: number, readonly endsAt: Millis }

/** Reports to the lender that the borrower has finished with a credit, and how much of it is unspent. */
export interface Settlement { readonly ask: string, readonly unspent: number }

/** The balance that a lender last reported. */
export interface LenderBalance {
  readonly host: HostId
  left: number
  heardAt: Millis
}

/** The token bucket for this host's share of one workspace's rate limit. */
export interface AllowanceRow {
  readonly workspace: WorkspaceId
  /** Refill rate, in tokens per second. */
  rate: number
  /** Capacity of the bucket, in tokens, including lent ones. */
  burst: number
  tokens: number
  refilledAt: Millis
  loans: Loan[]
  credits: Credit[]
  readonly lenders: Map<HostId, LenderBalance>
  /** Settlements that have not been sent to their lenders yet. */
  readonly settlements: Map<HostId, Settlement[]>
  /** Exponential moving average of the arrivals on this host, in requests per second. */
  demand: number
  arrivalsSinceUpdate: number
  demandUpdatedAt: Millis
  nextAskAt: Millis
  /** Send times of unanswered token requests by id. A duplicate or unsolicited grant has no entry here and is ignored. */
  readonly pendingAsks: Map<string, Millis>
  askCount: number
  /** When a round of token requests last brought no token. */
  exhaustedAt: Millis
  /** Number of requests that wait for a token on this host. */
  held: number
}

/** Messages between entry hosts that borrow and lend tokens. */
export type AllowanceMessage =
  | { readonly kind: 'token-request', readonly workspace: WorkspaceId, readonly amount: number, readonly ask: string, readonly settled: readonly Settlement[] }
  | { readonly kind: 'token-settlement', readonly workspace: WorkspaceId, readonly settled: readonly Settlement[] }
  | { readonly kind: 'token-grant', readonly workspace: WorkspaceId, readonly amount: number, readonly left: number, readonly ask: string }

export interface AdmissionTables {
  readonly allowances: RowTable<WorkspaceId, AllowanceRow>
  readonly parts: AllowanceParts
}

/** The token bucket for one host's share of a workspace's rate limit. Hosts lend each other tokens for a limited time. */

import type { HostId, WorkspaceId } from '../core/id.js'
import { remainingFraction } from '../core/decay.js'
import { NEVER } from '../core/tick.js'
import type { Millis } from '../core/tick.js'
import type { AllowanceRow, Credit, Settlement } from './types.js'

const MS_PER_SECOND = 1_000
/** Time constant of the exponential moving average of demand. */
const DEMAND_TIME_CONSTANT_MS: Millis = 500
/** Tolerance for rounding errors when a bucket holds nearly a whole token. */
const EPSILON = 1e-9
/** Pending settlements per lender. Further ones are dropped: the lender's loan then ends by its own expiry. */
const MAX_SETTLEMENTS_PER_LENDER = 64

/** How long borrowed tokens may be spent, from the time of the request for them. */
export const LOAN_DURATION_MS: Millis = 300
/** Bound on the drift between the monotonic clocks of two hosts over one loan. */
const MAX_CLOCK_DRIFT_MS: Millis = 50

/** Returns when a loan requested now expires at the lender. Includes the clock drift, so that the borrower's credit expires first. */
export const lenderLoanExpiry = (now: Millis): Millis => now + LOAN_DURATION_MS + MAX_CLOCK_DRIFT_MS

/**
 * Creates an empty bucket. It earns no tokens until every loan that this host may have granted before a restart has
 * expired; otherwise a restart would allow a second burst.
 */
export const createAllowance = (workspace: WorkspaceId, now: Millis): AllowanceRow => ({
  workspace,
  rate: 0,
  burst: 0,
  tokens: 0,
  refilledAt: now,
  loans: [{ ask: '', amount: Number.POSITIVE_INFINITY, endsAt: lenderLoanExpiry(now) }],
  credits: [],
  lenders: new Map(),
  settlements: new Map(),
  demand: 0,
  arrivalsSinceUpdate: 0,
  demandUpdatedAt: now,
  nextAskAt: now,
  pendingAsks: new Map(),
  askCount: 0,
  exhaustedAt: Number.NEGATIVE_INFINITY,
  held: 0
})

const lentAmount = (row: AllowanceRow): number => {
  let amount = 0
  for (const loan of row.loans) amount += loan.amount
  return amount
}

// Queues a settlement for the lender, which can then reuse the burst capacity before its loan expires.
const queueSettlement = (row: AllowanceRow, credit: Credit): void => {
  const list = row.settlements.get(credit.lender)
  const settlement: Settlement = { ask: credit.ask, unspent: credit.amount }
  if (list === undefined) row.settlements.set(credit.lender, [settlement])
  else if (list.length < MAX_SETTLEMENTS_PER_LENDER) list.push(settlement)
}

const dropCredits = (row: AllowanceRow, isFinished: (credit: Credit) => boolean): void => {
  if (!row.credits.some(isFinished)) return
  for (const credit of row.credits) {
    if (isFinished(credit)) queueSettlement(row, credit)
  }
  row.credits = row.credits.filter(credit => !isFinished(credit))
}

/** Ends a settled loan and puts its unspent tokens back into the bucket. Ignores a settlement without a matching loan. */
export const applySettlement = (row: AllowanceRow, settlement: Settlement, now: Millis): void => {
  refill(row, now)
  const loan = row.loans.find(candidate => candidate.ask === settlement.ask)
  if (loan === undefined) return
  row.loans = row.loans.filter(candidate => candidate !== loan)
  const capacity = Math.max(0, row.burst - lentAmount(row))
  row.tokens = Math.min(capacity, row.tokens + Math.min(loan.amount, Math.max(0, settlement.unspent)))
}

/** Removes and returns the settlements that are queued for a lender. */
export const takePendingSettlements = (row: AllowanceRow, lender: HostId): readonly Settlement[] => {
  const list = row.settlements.get(lender) ?? []
  row.settlements.delete(lender)
  return list
}

/** Returns the earliest expiry of a credit. */
export const nextCreditExpiry = (row: AllowanceRow): Millis => {
  let earliest = NEVER
  for (const credit of row.credits) earliest = Math.min(earliest, credit.endsAt)
  return earliest
}

/** Adds the tokens earned since the last refill and drops expired loans and credits. */
export const refill = (row: AllowanceRow, now: Millis): void => {
  if (row.loans.some(loan => loan.endsAt <= now)) row.loans = row.loans.filter(loan => loan.endsAt > now)
  dropCredits(row, credit => credit.endsAt <= now)
  const earned = row.rate * (now - row.refilledAt) / MS_PER_SECOND
  // Lent tokens count against the burst, because they may be spent on another host until the loan expires.
  const capacity = Math.max(0, row.burst - lentAmount(row))
  row.tokens = Math.min(capacity, row.tokens + earned)
  row.refilledAt = now
}

/** Changes the rate and burst of the bucket. Tokens above the new burst are discarded. */
export const resize = (row: AllowanceRow, rate: number, burst: number, now: Millis): void => {
  if (row.rate === rate && row.burst === burst) return
  refill(row, now)
  row.rate = rate
  row.burst = burst
  row.tokens = Math.min(row.tokens, burst)
}

/** Returns the number of tokens that may be spent now, including borrowed ones. */
export const spendableTokens = (row: AllowanceRow): number => {
  let amount = row.tokens
  for (const credit of row.credits) amount += credit.amount
  return amount
}

/** Takes one token, from credits first because they expire sooner. Returns false when less than one token is left. */
export const takeToken = (row: AllowanceRow, now: Millis): boolean => {
  refill(row, now)
  if (spendableTokens(row) + EPSILON < 1) return false
  let remaining = 1
  for (const credit of row.credits) {
    const part = Math.min(remaining, credit.amount)
    credit.amount -= part
    remaining -= part
    if (remaining <= 0) break
  }
  dropCredits(row, credit => credit.amount <= EPSILON)
  row.tokens = Math.max(0, row.tokens - remaining)
  return true
}

/** Lends at most the requested amount and leaves the reserve in the bucket. Returns the amount lent. */
export const lend = (row: AllowanceRow, ask: string, requested: number, reserve: number, now: Millis, endsAt: Millis): number => {
  refill(row, now)
  const amount = Math.max(0, Math.min(requested, row.tokens - reserve))
  if (amount <= EPSILON) return 0
  row.tokens -= amount
  row.loans.push({ ask, amount, endsAt })
  return amount
}

/** Counts an arrival for the demand estimate. */
export const countArrival = (row: AllowanceRow): void => { row.arrivalsSinceUpdate += 1 }

/** Updates the demand estimate from the arrivals since the last update. */
export const updateDemand = (row: AllowanceRow, now: Millis): void => {
  const elapsed = now - row.demandUpdatedAt
  if (elapsed < DEMAND_TIME_CONSTANT_MS / 10) return
  const observed = row.arrivalsSinceUpdate * MS_PER_SECOND / elapsed
  const weight = 1 - remainingFraction(elapsed, DEMAND_TIME_CONSTANT_MS)
  row.demand += (observed - row.demand) * weight
  row.arrivalsSinceUpdate = 0
  row.demandUpdatedAt = now
}

/** A token bucket over one host's part of a workspace's allowance, with tokens lent and borrowed for a short time. */

import type { HostId, WorkspaceId } from '../core/id.js'
import { NEVER } from '../core/tick.js'
import type { Millis } from '../core/tick.js'
import type { AllowanceRow, Credit, Settlement } from './types.js'

const MS_PER_SECOND = 1_000
/** Time constant of the demand estimate. */
const DEMAND_TIME_CONSTANT_MS: Millis = 500
/** Floating-point slack when a bucket holds a whole token but for rounding. */
const EPSILON = 1e-9
/** Settlements kept for one lender; a lender that is not told in time ends its loans by itself. */
const MAX_SETTLEMENTS_PER_LENDER = 64

/** How long lent tokens may be spent, from when they were asked for. */
export const LOAN_DURATION_MS: Millis = 300
/** Bound on the difference of two monotonic clocks over one loan. */
const MAX_CLOCK_DRIFT_MS: Millis = 50

/** When a loan that is asked for now has ended at the lender, whatever the borrower's clock does. */
export const lenderLoanExpiry = (now: Millis): Millis => now + LOAN_DURATION_MS + MAX_CLOCK_DRIFT_MS

/**
 * An empty bucket. It earns nothing until every loan that this host may have given before a restart has ended,
 * or restarts would become bursts.
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

// A lender that learns early that a credit is settled has its room back before the loan ends.
const queueSettlement = (row: AllowanceRow, credit: Credit): void => {
  const list = row.settlements.get(credit.lender)
  const settlement: Settlement = { ask: credit.ask, unspent: credit.amount }
  if (list === undefined) row.settlements.set(credit.lender, [settlement])
  else if (list.length < MAX_SETTLEMENTS_PER_LENDER) list.push(settlement)
}

const dropCredits = (row: AllowanceRow, isOver: (credit: Credit) => boolean): void => {
  if (!row.credits.some(isOver)) return
  for (const credit of row.credits) {
    if (isOver(credit)) queueSettlement(row, credit)
  }
  row.credits = row.credits.filter(credit => !isOver(credit))
}

/** Ends a loan whose borrower will not spend it any further; unspent tokens come back. */
export const applySettlement = (row: AllowanceRow, settlement: Settlement, now: Millis): void => {
  refill(row, now)
  const loan = row.loans.find(candidate => candidate.ask === settlement.ask)
  if (loan === undefined) return
  row.loans = row.loans.filter(candidate => candidate !== loan)
  const room = Math.max(0, row.burst - lentAmount(row))
  row.tokens = Math.min(room, row.tokens + Math.min(loan.amount, Math.max(0, settlement.unspent)))
}

/** Takes the settlements that a lender is to be told of. */
export const takePendingSettlements = (row: AllowanceRow, lender: HostId): readonly Settlement[] => {
  const list = row.settlements.get(lender) ?? []
  row.settlements.delete(lender)
  return list
}

/** When the next credit ends; its unspent tokens then go back. */
export const nextCreditExpiry = (row: AllowanceRow): Millis => {
  let earliest = NEVER
  for (const credit of row.credits) earliest = Math.min(earliest, credit.endsAt)
  return earliest
}

/** Earns tokens up to the present and ends loans and credits that are over. */
export const refill = (row: AllowanceRow, now: Millis): void => {
  if (row.loans.some(loan => loan.endsAt <= now)) row.loans = row.loans.filter(loan => loan.endsAt > now)
  dropCredits(row, credit => credit.endsAt <= now)
  const earned = row.rate * (now - row.refilledAt) / MS_PER_SECOND
  // Lent tokens still count against the burst: they may be spent elsewhere until the loan has ended.
  const room = Math.max(0, row.burst - lentAmount(row))
  row.tokens = Math.min(room, row.tokens + earned)
  row.refilledAt = now
}

/** Changes the host's part; what it holds above the new burst is lost. */
export const resize = (row: AllowanceRow, rate: number, burst: number, now: Millis): void => {
  if (row.rate === rate && row.burst === burst) return
  refill(row, now)
  row.rate = rate
  row.burst = burst
  row.tokens = Math.min(row.tokens, burst)
}

/** Tokens that may be spent now, borrowed ones included. */
export const spendableTokens = (row: AllowanceRow): number => {
  let amount = row.tokens
  for (const credit of row.credits) amount += credit.amount
  return amount
}

/** Takes one token, borrowed ones first since they end soonest; false when there is no whole token. */
export const takeToken = (row: AllowanceRow, now: Millis): boolean => {
  refill(row, now)
  if (spendableTokens(row) + EPSILON < 1) return false
  let due = 1
  for (const credit of row.credits) {
    const part = Math.min(due, credit.amount)
    credit.amount -= part
    due -= part
    if (due <= 0) break
  }
  dropCredits(row, credit => credit.amount <= EPSILON)
  row.tokens = Math.max(0, row.tokens - due)
  return true
}

/** Lends up to an amount until a time; returns what was lent. */
export const lend = (row: AllowanceRow, ask: string, wanted: number, keep: number, now: Millis, endsAt: Millis): number => {
  refill(row, now)
  const amount = Math.max(0, Math.min(wanted, row.tokens - keep))
  if (amount <= EPSILON) return 0
  row.tokens -= amount
  row.loans.push({ ask, amount, endsAt })
  return amount
}

/** Counts an arrival for the demand estimate. */
export const countArrival = (row: AllowanceRow): void => { row.arrivalsSinceUpdate += 1 }

/** Brings the demand estimate up to the present. */
export const updateDemand = (row: AllowanceRow, now: Millis): void => {
  const elapsed = now - row.demandUpdatedAt
  if (elapsed < DEMAND_TIME_CONSTANT_MS / 10) return
  const observed = row.arrivalsSinceUpdate * MS_PER_SECOND / elapsed
  const weight = 1 - Math.exp(-elapsed / DEMAND_TIME_CONSTANT_MS)
  row.demand += (observed - row.demand) * weight
  row.arrivalsSinceUpdate = 0
  row.demandUpdatedAt = now
}

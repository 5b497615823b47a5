/** Accounting for shifts. Each host keeps its own traffic under the cap, so the whole fleet stays under it, even across a network partition. */

import { rendezvousWeight } from '../core/rendezvous.js'
import type { ProfileTerms } from '../plan/types.js'
import type { RegionId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { ExchangeRow } from '../exchange/types.js'
import type { AwayLimitRow, ShiftRow, ShiftTables } from './types.js'

const EPSILON = 1e-9
const MIN_AWAY_LIMIT = 1
const MAX_AWAY_LIMIT = 256

/** Account of all requests by routes of a plan, because all services of a plan run under the same terms. */
const PLAN_SUBJECT = 'plan'

/** Account of requests for objects that have one home for the region. */
const REGIONAL_SUBJECT = 'plan/regional'

/** Returns the subject of the account that a request belongs to: the plan for routed requests, else the service. */
export const shiftSubjectOf = ({ route, service, homeScope }: Pick<ExchangeRow, 'route' | 'service' | 'homeScope'>): string => {
  if (route === null) return service
  return homeScope === 'region' ? REGIONAL_SUBJECT : PLAN_SUBJECT
}

// Windows of different hosts begin at different times, so that their numbers are independent.
const drawOf = (subject: string, windowStart: Millis): number => rendezvousWeight(subject, String(windowStart)) / 2 ** 32

/** Returns the account of a subject, with its window advanced to the present. Opens the account if it does not exist. */
export const findShiftAccount = (tables: ShiftTables, subject: string, windowMs: Millis, now: Millis): ShiftRow => {
  let row = tables.shifts.get(subject)
  if (row === undefined) {
    row = { subject, windowStart: now, draw: drawOf(subject, now), total: 0, home: 0, away: 0, baseline: 0, previous: null }
    tables.shifts.put(row)
  }
  if (now - row.windowStart >= windowMs) rollWindow(row, windowMs, now)
  return row
}

/** Opens an account with the fraction of requests that is planned to run in other regions. */
export const openShiftAccount = (tables: ShiftTables, subject: string, baseline: number, now: Millis): void => {
  tables.shifts.put({ subject, windowStart: now, draw: drawOf(subject, now), total: 0, home: 0, away: 0, baseline, previous: null })
}

// The away fraction of the ended window becomes the baseline, from which the next window may differ by the cap.
const rollWindow = (row: ShiftRow, windowMs: Millis, now: Millis): void => {
  const placed = row.home + row.away
  if (placed > 0) row.baseline = row.away / Math.max(row.total, placed)
  row.previous = { placed, awayFraction: placed > 0 ? row.away / placed : row.baseline }
  row.windowStart += Math.floor((now - row.windowStart) / windowMs) * windowMs
  row.draw = drawOf(row.subject, row.windowStart)
  row.total = 0
  row.home = 0
  row.away = 0
}

// Returns how many requests of the window may run in another region, or in the home region if `share` gives that one's: so many that
// neither their fraction of all requests nor that of the requests that run grows by more than the cap. Under overload the two differ,
// because refused requests run nowhere.
const placementLimit = (row: ShiftRow, { shiftCap }: Pick<ProfileTerms, 'shiftCap'>, share: (awayFraction: number) => number): number => {
  const ofAll = Math.min(1, share(row.baseline) + shiftCap) * row.total
  if (row.previous === null) return ofAll
  const placed = Math.min(row.total, Math.max(row.home + row.away + 1, row.previous.placed))
  return Math.min(ofAll, Math.min(1, share(row.previous.awayFraction) + shiftCap) * placed)
}

// Returns whether one more request may run in another region under the shift cap. A host with few requests may move less than
// one of them in a window; it then moves one in so many windows that all hosts together stay under the cap.
const isAwayUnderCap = (row: ShiftRow, terms: Pick<ProfileTerms, 'shiftCap'>): boolean => {
  const limit = placementLimit(row, terms, awayFraction => awayFraction)
  return row.away + 1 <= (limit < 1 ? limit + row.draw : limit) + EPSILON
}

// Returns whether one more request may run in the home region under the cap. Moving traffic back is a shift as well.
const isHomeUnderCap = (row: ShiftRow, terms: Pick<ProfileTerms, 'shiftCap'>): boolean =>
  row.home + 1 <= placementLimit(row, terms, awayFraction => 1 - awayFraction) + EPSILON

/** Whether the shift cap allows one more request in the home region and in other regions. */
export interface AllowedPlacements { readonly isHomeAllowed: boolean, readonly isAwayAllowed: boolean }

/** Returns where one more request may run. Because a request cannot be split, small counts may rule out both; the larger fraction of the baseline is then allowed. */
export const findAllowedPlacements = (row: ShiftRow, terms: Pick<ProfileTerms, 'shiftCap'>): AllowedPlacements => {
  const isHomeAllowed = isHomeUnderCap(row, terms)
  const isAwayAllowed = isAwayUnderCap(row, terms)
  if (isHomeAllowed || isAwayAllowed) return { isHomeAllowed, isAwayAllowed }
  return row.baseline < 0.5 ? { isHomeAllowed: true, isAwayAllowed } : { isHomeAllowed, isAwayAllowed: true }
}

/** Returns the concurrency limit for a service's requests in another region. */
export const findAwayLimit = (tables: ShiftTables, service: string, region: RegionId): AwayLimitRow => {
  const key = `${service}/${region}`
  let row = tables.awayLimits.get(key)
  if (row === undefined) {
    row = { key, region, limit: MIN_AWAY_LIMIT, running: 0, answers: 0 }
    tables.awayLimits.put(row)
  }
  return row
}

/** Additive increase: raises the limit by one after as many successful answers as the limit. */
export const recordAwaySuccess = (row: AwayLimitRow): void => {
  row.running = Math.max(0, row.running - 1)
  row.answers += 1
  if (row.answers < row.limit) return
  row.answers = 0
  row.limit = Math.min(MAX_AWAY_LIMIT, row.limit + 1)
}

/** Multiplicative decrease: halves the limit after an attempt in the region did not succeed. */
export const recordAwayFailure = (row: AwayLimitRow): void => {
  row.running = Math.max(0, row.running - 1)
  row.answers = 0
  row.limit = Math.max(MIN_AWAY_LIMIT, Math.floor(row.limit / 2))
}

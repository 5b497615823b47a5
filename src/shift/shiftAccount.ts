/** The arithmetic of shifts. Each host keeps to the cap over its own traffic, so all of them together do, cut off or not. */

import type { ProfileTerms } from '../plan/types.js'
import type { RegionId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { ExchangeRow } from '../exchange/types.js'
import type { AwayLimitRow, ShiftRow, ShiftTables } from './types.js'

const EPSILON = 1e-9
const FIRST_AWAY_LIMIT = 1
const MOST_AWAY = 256

/** All services of a plan run under its terms, so the requests that come by its routes share one account. */
const PLAN_SUBJECT = 'plan'

/** The subject of the account that a request belongs to. */
export const shiftSubjectOf = ({ route, service }: Pick<ExchangeRow, 'route' | 'service'>): string => route === null ? service : PLAN_SUBJECT

/** The account of a subject, with its window rolled up to the present. */
export const findShiftAccount = (tables: ShiftTables, subject: string, windowMs: Millis, now: Millis): ShiftRow => {
  let row = tables.shifts.get(subject)
  if (row === undefined) {
    row = { subject, windowStart: now, total: 0, home: 0, away: 0, baseline: 0 }
    tables.shifts.put(row)
  }
  if (now - row.windowStart >= windowMs) rollWindow(row, windowMs, now)
  return row
}

/** Opens the account of a subject that has none, with the part that is planned to go away. */
export const openShift = (tables: ShiftTables, subject: string, baseline: number, now: Millis): void => {
  tables.shifts.put({ subject, windowStart: now, total: 0, home: 0, away: 0, baseline })
}

// What went away in the window that has ended is the plan that the next one may depart from.
const rollWindow = (row: ShiftRow, windowMs: Millis, now: Millis): void => {
  const placed = row.home + row.away
  if (placed > 0) row.baseline = row.away / Math.max(row.total, placed)
  row.windowStart += Math.floor((now - row.windowStart) / windowMs) * windowMs
  row.total = 0
  row.home = 0
  row.away = 0
}

/** Whether one more request may go away without the shift passing its cap. */
const mayGoAway = (row: ShiftRow, terms: Pick<ProfileTerms, 'shiftCap'>): boolean =>
  row.away + 1 <= Math.min(1, row.baseline + terms.shiftCap) * row.total + EPSILON

/** Whether one more request may come home: coming back is a shift as well. */
const mayStayHome = (row: ShiftRow, terms: Pick<ProfileTerms, 'shiftCap'>): boolean =>
  row.home + 1 <= Math.min(1, 1 - row.baseline + terms.shiftCap) * row.total + EPSILON

/** Where one more request may go. */
export interface AllowedPlacements { readonly isHomeOpen: boolean, readonly isAwayOpen: boolean }

/** Where one more request may go. One request cannot be split: when a small count closes both ways, the plan's own larger part stays open. */
export const findAllowedPlacements = (row: ShiftRow, terms: Pick<ProfileTerms, 'shiftCap'>): AllowedPlacements => {
  const isHomeOpen = mayStayHome(row, terms)
  const isAwayOpen = mayGoAway(row, terms)
  if (isHomeOpen || isAwayOpen) return { isHomeOpen, isAwayOpen }
  return row.baseline < 0.5 ? { isHomeOpen: true, isAwayOpen } : { isHomeOpen, isAwayOpen: true }
}

/** The limit of a service's requests in another region. */
export const findAwayLimit = (tables: ShiftTables, service: string, region: RegionId): AwayLimitRow => {
  const key = `${service}/${region}`
  let row = tables.awayLimits.get(key)
  if (row === undefined) {
    row = { key, region, limit: FIRST_AWAY_LIMIT, running: 0, answers: 0 }
    tables.awayLimits.put(row)
  }
  return row
}

/** Additive increase: one more for each round of answers without a shed. */
export const noteAwayAnswer = (row: AwayLimitRow): void => {
  row.running = Math.max(0, row.running - 1)
  row.answers += 1
  if (row.answers < row.limit) return
  row.answers = 0
  row.limit = Math.min(MOST_AWAY, row.limit + 1)
}

/** Multiplicative decrease: the region has shown that it cannot bear this much. */
export const noteAwayTrouble = (row: AwayLimitRow): void => {
  row.running = Math.max(0, row.running - 1)
  row.answers = 0
  row.limit = Math.max(FIRST_AWAY_LIMIT, Math.floor(row.limit / 2))
}

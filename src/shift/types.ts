/** Types of shift accounts. A shift is traffic that moves to another region than the baseline, for whatever reason. */

import type { RegionId } from '../core/id.js'
import type { OverflowCache } from './capacityOverflow.js'
import type { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'

/** This host's account of one kind of traffic in the current window. */
export interface ShiftRow {
  /** The plan, a service, or the look-ups of a service (`lookup/SERVICE`). */
  readonly subject: string
  windowStart: Millis
  /** Random number of this window, 0 to 1, by which a share of less than one request is rounded. */
  draw: number
  /** Requests in this window, including refused ones. */
  total: number
  /** Requests that ran in the home region. */
  home: number
  /** Requests that ran in another region. */
  away: number
  /** Fraction of the traffic, 0 to 1, that ran in other regions in the previous window. */
  baseline: number
  /** Requests that ran in the previous window, and the fraction of them that ran in other regions; null in the first window. */
  previous: { readonly placed: number, readonly awayFraction: number } | null
}

/** Adaptive limit (additive increase, multiplicative decrease) of this host's concurrent requests for one service in another region. */
export interface AwayLimitRow {
  readonly key: string
  readonly region: RegionId
  limit: number
  running: number
  /** Successful answers since the limit last changed. */
  answers: number
}

/** Tables of shifts. */
export interface ShiftTables {
  readonly overflow: OverflowCache
  readonly shifts: RowTable<string, ShiftRow>
  readonly awayLimits: RowTable<string, AwayLimitRow>
}

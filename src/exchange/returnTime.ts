/** Tells refused callers when to come back: once there is likely to be room for them, while they have time, and not all at the same moment. */

import { ANNOUNCEMENT_INTERVAL_MS } from '../announcement/announcementSystem.js'
import { expectedWait } from '../backend-choice/backendChoice.js'
import { findAvailableFrom, mayUse } from '../backend-choice/candidates.js'
import type { CandidateTables } from '../backend-choice/candidates.js'
import type { Random } from '../core/random.js'
import type { Millis } from '../core/tick.js'
import { roundTripTime } from '../membership/roundTrips.js'
import type { ExchangeRow, ExchangeTables } from './types.js'
import { findLatestStart } from './waitDecision.js'
import { estimateWork } from './workTime.js'

type ReturnTables = CandidateTables & ExchangeTables

/** When a refused caller may find room. */
export interface ReturnWindow {
  /** Earliest time from now at which there may be room. */
  readonly earliestMs: Millis
  /** Time after that over which callers are spread. */
  readonly spreadMs: Millis
  /** Time from now after which a return is of no use to the caller. */
  readonly usefulMs: Millis
}

/** Part of its useful time over which a caller may be told to return. The rest is left for its next wait. */
const AWAY_FRACTION = 0.5

/** Returns the window of a caller for whom there is no better moment than any other after the earliest one. */
export const spreadOver = (earliestMs: Millis, usefulMs: Millis): ReturnWindow => ({ earliestMs, spreadMs: usefulMs * AWAY_FRACTION, usefulMs })

/** Draws the time after which a caller returns. A caller that has no time left is told when there may be room all the same. */
export const drawReturn = (random: Random, { earliestMs, spreadMs, usefulMs }: ReturnWindow): Millis =>
  Math.round(earliestMs + random.unit() * Math.max(0, Math.min(spreadMs, usefulMs - earliestMs)))

/** Returns the time from now until which a server may still start a request. */
export const findUsefulTime = (tables: Pick<ExchangeTables, 'workTimes'>, exchange: ExchangeRow, now: Millis): Millis =>
  findLatestStart(exchange.deadline, estimateWork(tables, exchange)) - now

const leastWait = (tables: ReturnTables, exchange: ExchangeRow, now: Millis): Millis | null => {
  const { meanMs } = estimateWork(tables, exchange)
  let least: Millis | null = null
  for (const row of tables.backends.group(exchange.service)) {
    if (!mayUse(tables, exchange, row)) continue
    const waitMs = Math.max(0, findAvailableFrom(row) - now) + roundTripTime(tables.gossip, row.announcement.region) + expectedWait(row, meanMs, now)
    least = Math.min(least ?? waitMs, waitMs)
  }
  return least
}

/** Returns when a request that found no free server may find one. Without any server, one may announce itself within the announcement interval. */
export const findRoom = (tables: ReturnTables, exchange: ExchangeRow, now: Millis): ReturnWindow => {
  const usefulMs = findUsefulTime(tables, exchange, now)
  const earliestMs = leastWait(tables, exchange, now)
  return earliestMs === null ? { earliestMs: 0, spreadMs: ANNOUNCEMENT_INTERVAL_MS, usefulMs } : spreadOver(earliestMs, usefulMs)
}

/** How long requests of one kind take at a server that is not busy, learned from their answers. */

import type { Millis } from '../core/tick.js'
import type { ExchangeRow, ExchangeTables } from './types.js'

/** Weight of one more answer. */
const FOLLOW = 0.05
/** Part of the target that the work is taken for until an answer has come. */
const FIRST_GUESS = 0.5

const keyOf = (exchange: ExchangeRow): string => exchange.route ?? exchange.service

/** The time that a request is expected to take at a server with a free slot. */
export const workTimeOf = (tables: Pick<ExchangeTables, 'workTimes'>, exchange: ExchangeRow): Millis =>
  tables.workTimes.get(keyOf(exchange))?.workMs ?? exchange.targetMs * FIRST_GUESS

/** Learns from an answer, without the time on the way. */
export const noteWorkTime = (tables: Pick<ExchangeTables, 'workTimes'>, exchange: ExchangeRow, tookMs: Millis): void => {
  const key = keyOf(exchange)
  const workMs = Math.max(1, tookMs)
  const row = tables.workTimes.get(key)
  if (row === undefined) tables.workTimes.put({ key, workMs })
  else row.workMs += (workMs - row.workMs) * FOLLOW
}

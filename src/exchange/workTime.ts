/** How long requests take at backend servers, learned from their answers. */

import type { BackendRow } from '../announcement/types.js'
import type { WorkEstimate } from '../backend-choice/types.js'
import type { Millis } from '../core/tick.js'
import type { ExchangeRow, ExchangeTables, WorkTimeRow } from './types.js'

type WorkTables = Pick<ExchangeTables, 'workTimes'>

/** Weight of one more answer. */
const FOLLOW = 0.05
/** Part of the target that the work is taken for until an answer has come: where the server knows the object, on the mean, and where it does not. */
const FIRST_WARM_PART = 0.35
const FIRST_MEAN_PART = 0.5
const FIRST_COLD_PART = 1
/** Weight of one more answer in what is known of a server's own speed. */
const SLOWNESS_FOLLOW = 0.2
const MOST_SLOWNESS = 20
const LEAST_SLOWNESS = 0.2

const kindOf = (exchange: ExchangeRow): string => exchange.route ?? exchange.service
const serviceKey = (exchange: ExchangeRow): string => `service/${exchange.service}`

const findWork = (tables: WorkTables, key: string, targetMs: Millis): WorkTimeRow => {
  let row = tables.workTimes.get(key)
  if (row === undefined) {
    row = { key, warmMs: targetMs * FIRST_WARM_PART, coldMs: targetMs * FIRST_COLD_PART, meanMs: targetMs * FIRST_MEAN_PART }
    tables.workTimes.put(row)
  }
  return row
}

/** What a request is expected to take at a server with a free slot, and what those before it take. */
export const workOf = (tables: WorkTables, exchange: ExchangeRow): WorkEstimate => {
  const kind = findWork(tables, kindOf(exchange), exchange.targetMs)
  const { meanMs } = findWork(tables, serviceKey(exchange), exchange.targetMs)
  return { warmMs: Math.min(kind.warmMs, kind.coldMs), coldMs: kind.coldMs, meanMs }
}

const noteSlowness = (backend: BackendRow, ratio: number, now: Millis): void => {
  const bounded = Math.min(MOST_SLOWNESS, Math.max(LEAST_SLOWNESS, ratio))
  backend.slowness += (bounded - backend.slowness) * SLOWNESS_FOLLOW
  backend.slownessUpdatedAt = now
}

/** Learns from an answer that took this long without the time on the way, the wait for a slot included. */
export const noteWorkTime = (tables: WorkTables, exchange: ExchangeRow, backend: BackendRow, tookMs: Millis, now: Millis): void => {
  const { slots } = backend.announcement
  // Behind others it has waited for as many turns of the slots as they fill.
  const workMs = Math.max(1, tookMs * Math.min(1, slots / (exchange.busyAtStart + 1)))
  const kind = findWork(tables, kindOf(exchange), exchange.targetMs)
  const service = findWork(tables, serviceKey(exchange), exchange.targetMs)
  service.meanMs += (workMs - service.meanMs) * FOLLOW
  // Whether a home knew the object is only guessed, so its answer tells neither.
  if (exchange.warmth === 'home') return
  const ordinaryMs = workMs / Math.max(1, backend.slowness)
  if (exchange.warmth === 'known') kind.warmMs += (ordinaryMs - kind.warmMs) * FOLLOW
  else kind.coldMs += (ordinaryMs - kind.coldMs) * FOLLOW
  noteSlowness(backend, workMs / (exchange.warmth === 'known' ? kind.warmMs : kind.coldMs), now)
}

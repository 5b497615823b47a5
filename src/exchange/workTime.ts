/** How long requests take at backend servers, learned from their answers. */

import type { BackendRow } from '../announcement/types.js'
import type { WorkEstimate } from '../backend-choice/types.js'
import type { Millis } from '../core/tick.js'
import type { ExchangeRow, ExchangeTables, WorkTimeRow } from './types.js'

type WorkTimeTables = Pick<ExchangeTables, 'workTimes'>

/** Weight of one more answer. */
const SAMPLE_WEIGHT = 0.05
/** Part of the target that the work is taken for until an answer has come: where the server knows the object, on the mean, and where it does not. */
const INITIAL_WARM_FRACTION = 0.35
const INITIAL_MEAN_FRACTION = 0.5
const INITIAL_COLD_FRACTION = 1
/** Weight of one more answer in what is known of a server's own speed. */
const SLOWNESS_SAMPLE_WEIGHT = 0.2
const MAX_SLOWNESS = 20
const MIN_SLOWNESS = 0.2

const requestKey = (exchange: ExchangeRow): string => exchange.route ?? exchange.service
const serviceKey = (exchange: ExchangeRow): string => `service/${exchange.service}`

const findWorkTime = (tables: WorkTimeTables, key: string, targetMs: Millis): WorkTimeRow => {
  let row = tables.workTimes.get(key)
  if (row === undefined) {
    row = { key, warmMs: targetMs * INITIAL_WARM_FRACTION, coldMs: targetMs * INITIAL_COLD_FRACTION, meanMs: targetMs * INITIAL_MEAN_FRACTION }
    tables.workTimes.put(row)
  }
  return row
}

/** What a request is expected to take at a server with a free slot, and what those before it take. */
export const estimateWork = (tables: WorkTimeTables, exchange: ExchangeRow): WorkEstimate => {
  const kind = findWorkTime(tables, requestKey(exchange), exchange.targetMs)
  const { meanMs } = findWorkTime(tables, serviceKey(exchange), exchange.targetMs)
  return { warmMs: Math.min(kind.warmMs, kind.coldMs), coldMs: kind.coldMs, meanMs }
}

const recordSlowness = (backend: BackendRow, ratio: number, now: Millis): void => {
  const bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ratio))
  backend.slowness += (bounded - backend.slowness) * SLOWNESS_SAMPLE_WEIGHT
  backend.slownessAt = now
}

/** Learns from an answer that took this long without the time on the way, the wait for a slot included. */
export const recordWorkTime = (tables: WorkTimeTables, exchange: ExchangeRow, backend: BackendRow, tookMs: Millis, now: Millis): void => {
  const { slots } = backend.announcement
  // Behind others it has waited for as many turns of the slots as they fill.
  const workMs = Math.max(1, tookMs * Math.min(1, slots / (exchange.outstandingAtStart + 1)))
  const kind = findWorkTime(tables, requestKey(exchange), exchange.targetMs)
  const service = findWorkTime(tables, serviceKey(exchange), exchange.targetMs)
  service.meanMs += (workMs - service.meanMs) * SAMPLE_WEIGHT
  // Whether a home knew the object is only guessed, so its answer tells neither.
  if (exchange.objectAffinity === 'home') return
  const ordinaryMs = workMs / Math.max(1, backend.slowness)
  if (exchange.objectAffinity === 'known') kind.warmMs += (ordinaryMs - kind.warmMs) * SAMPLE_WEIGHT
  else kind.coldMs += (ordinaryMs - kind.coldMs) * SAMPLE_WEIGHT
  recordSlowness(backend, workMs / (exchange.objectAffinity === 'known' ? kind.warmMs : kind.coldMs), now)
}

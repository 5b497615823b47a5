/** Estimates how long requests take at backend servers, from the answers seen so far. */

import type { BackendRow } from '../announcement/types.js'
import type { WorkEstimate } from '../backend-choice/types.js'
import type { Millis } from '../core/tick.js'
import type { ExchangeRow, ExchangeTables, WorkTimeRow } from './types.js'

type WorkTimeTables = Pick<ExchangeTables, 'workTimes'>

/** Weight of a new sample in the smoothed work times. */
const SAMPLE_WEIGHT = 0.05
/** Work times assumed before the first answer, as fractions of the target: with the object cached, on average, and without it cached. */
const INITIAL_WARM_FRACTION = 0.35
const INITIAL_MEAN_FRACTION = 0.5
const INITIAL_COLD_FRACTION = 1
/** Weight of a new sample in a server's smoothed slowness. */
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

/** Returns the expected work time of a request at a server with a free slot, and the mean work time of the service's requests. */
export const estimateWork = (tables: WorkTimeTables, exchange: ExchangeRow): WorkEstimate => {
  const request = findWorkTime(tables, requestKey(exchange), exchange.targetMs)
  const { meanMs } = findWorkTime(tables, serviceKey(exchange), exchange.targetMs)
  return { warmMs: Math.min(request.warmMs, request.coldMs), coldMs: request.coldMs, meanMs }
}

const recordSlowness = (backend: BackendRow, ratio: number, now: Millis): void => {
  const bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ratio))
  backend.slowness += (bounded - backend.slowness) * SLOWNESS_SAMPLE_WEIGHT
  backend.slownessUpdatedAt = now
}

/** Updates the estimates from an answer. `tookMs` includes the wait for a slot, but not the network round trip. */
export const recordWorkTime = (tables: WorkTimeTables, exchange: ExchangeRow, backend: BackendRow, tookMs: Millis, now: Millis): void => {
  const { slots } = backend.announcement
  // With more outstanding requests than slots, part of the time was spent waiting for a slot.
  const workMs = Math.max(1, tookMs * Math.min(1, slots / (exchange.outstandingAtStart + 1)))
  const request = findWorkTime(tables, requestKey(exchange), exchange.targetMs)
  const service = findWorkTime(tables, serviceKey(exchange), exchange.targetMs)
  service.meanMs += (workMs - service.meanMs) * SAMPLE_WEIGHT
  // Whether a preferred server had the object cached is only a guess, so such a sample updates neither estimate.
  if (exchange.objectAffinity === 'home' || exchange.objectAffinity === 'spare') return
  const normalMs = workMs / Math.max(1, backend.slowness)
  if (exchange.objectAffinity === 'known') request.warmMs += (normalMs - request.warmMs) * SAMPLE_WEIGHT
  else request.coldMs += (normalMs - request.coldMs) * SAMPLE_WEIGHT
  recordSlowness(backend, workMs / (exchange.objectAffinity === 'known' ? request.warmMs : request.coldMs), now)
}

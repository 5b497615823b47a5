/** Estimates how long requests take at backend servers, from the answers seen so far. */

import type { BackendRow } from '../announcement/types.js'
import type { WorkEstimate } from '../backend-choice/types.js'
import type { Millis } from '../core/tick.js'
import type { ExchangeRow, ExchangeTables, WorkTime, WorkTimeRow } from './types.js'

type WorkTimeTables = Pick<ExchangeTables, 'workTimes'>

/** Smallest weight of a new sample in the smoothed work times; the first samples count as a plain mean. */
const MIN_SAMPLE_WEIGHT = 0.05
/** Work time assumed before the first answer, to compare servers and their queues. The least time of a request is then taken to be 0. */
export const INITIAL_WORK_MS: Millis = 200
/** Deviation assumed of a work time that was seen once, as a fraction of it. */
const INITIAL_DEVIATION_FRACTION = 0.5
/** Mean deviations below the mean that hardly any request stays under. */
const RARE_DEVIATIONS = 2
/** Weight of a new sample in a server's smoothed slowness. */
const SLOWNESS_SAMPLE_WEIGHT = 0.2
const MAX_SLOWNESS = 20
const MIN_SLOWNESS = 0.2

const requestKey = (exchange: ExchangeRow): string => exchange.route ?? exchange.service
const serviceKey = (exchange: ExchangeRow): string => `service/${exchange.service}`

const createWorkTime = (): WorkTime => ({ meanMs: 0, deviationMs: 0, samples: 0 })

const findRow = (tables: WorkTimeTables, key: string): WorkTimeRow => {
  let row = tables.workTimes.get(key)
  if (row === undefined) {
    row = { key, warm: createWorkTime(), cold: createWorkTime(), all: createWorkTime() }
    tables.workTimes.put(row)
  }
  return row
}

const addSample = (time: WorkTime, ms: Millis): void => {
  time.samples += 1
  if (time.samples === 1) {
    time.meanMs = ms
    time.deviationMs = ms * INITIAL_DEVIATION_FRACTION
    return
  }
  const weight = Math.max(1 / time.samples, MIN_SAMPLE_WEIGHT)
  time.deviationMs += (Math.abs(ms - time.meanMs) - time.deviationMs) * weight
  time.meanMs += (ms - time.meanMs) * weight
}

const firstMeasured = (...times: readonly WorkTime[]): WorkTime | undefined => times.find(time => time.samples > 0)

const leastOf = ({ meanMs, deviationMs }: WorkTime): Millis => Math.max(0, meanMs - RARE_DEVIATIONS * deviationMs)

/** Returns the expected work time of a request at a server with a free slot, and the mean work time of the service's requests. */
export const estimateWork = (tables: WorkTimeTables, exchange: ExchangeRow): WorkEstimate => {
  const { warm, cold, all } = findRow(tables, requestKey(exchange))
  const service = findRow(tables, serviceKey(exchange)).all
  const fallback = firstMeasured(all, service)?.meanMs ?? INITIAL_WORK_MS
  const coldMs = firstMeasured(cold, all)?.meanMs ?? fallback
  const warmMs = Math.min(coldMs, firstMeasured(warm, all)?.meanMs ?? fallback)
  const measured = [warm, cold, all].filter(time => time.samples > 0)
  return {
    warmMs,
    coldMs,
    meanMs: firstMeasured(service)?.meanMs ?? INITIAL_WORK_MS,
    isMeasured: firstMeasured(all, service) !== undefined,
    leastMs: measured.length === 0 ? 0 : Math.min(...measured.map(leastOf))
  }
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
  const request = findRow(tables, requestKey(exchange))
  const { objectAffinity } = exchange
  const normalMs = workMs / Math.max(1, backend.slowness)
  // Whether a preferred server had the object cached is only a guess; an answer that took longer than most is taken for a first read.
  const isGuess = objectAffinity === 'home' || objectAffinity === 'spare'
  const isCold = isGuess ? normalMs > request.all.meanMs : objectAffinity === 'none'
  if (isCold) addSample(request.cold, normalMs)
  else if (objectAffinity === 'known') addSample(request.warm, normalMs)
  addSample(request.all, normalMs)
  addSample(findRow(tables, serviceKey(exchange)).all, workMs)
  if (!isGuess) recordSlowness(backend, workMs / (isCold ? request.cold : request.warm).meanMs, now)
}

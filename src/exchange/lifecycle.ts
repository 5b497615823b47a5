/** This process's own course from serving to its planned stop. */

import type { Millis } from '../core/tick.js'
import { ANSWER_TTL_MS } from '../lookup/lookupSystem.js'
import type { Lifecycle } from './types.js'

/** Serving goes on for this long after the host has left the look-up answers, so that cached answers still work. */
export const LEAVING: Millis = ANSWER_TTL_MS + 1_000

/** A process that has just started. */
export const createLifecycle = (): Lifecycle => ({ phase: 'serving', leavingAt: 0 })

/** Whether new requests are still taken. */
export const isServing = (lifecycle: Lifecycle, now: Millis): boolean => {
  if (lifecycle.phase === 'leaving') return now < lifecycle.leavingAt + LEAVING
  return lifecycle.phase === 'serving'
}

/** Lifecycle of the process: serving, leaving during a graceful shutdown, then stopped. */

import { NEVER } from '../core/tick.js'
import type { Millis } from '../core/tick.js'
import { ANSWER_TTL_MS } from '../lookup/lookupSystem.js'
import type { Lifecycle } from './types.js'

/** Time for which a host still accepts requests after it has left the look-up answers, so that cached answers stay valid. */
export const LEAVING_PERIOD_MS: Millis = ANSWER_TTL_MS + 1_000

/** Returns the lifecycle of a process that has just started. */
export const createLifecycle = (): Lifecycle => ({ phase: 'serving', leavingAt: 0, endBy: NEVER })

/** Time before the end of a shutdown that is left for the last bytes of the answers. */
export const LAST_BYTES_MS: Millis = 300

/** Returns whether new requests are accepted. */
export const isServing = (lifecycle: Lifecycle, now: Millis): boolean => {
  if (lifecycle.phase === 'leaving') return now < lifecycle.leavingAt + LEAVING_PERIOD_MS
  return lifecycle.phase === 'serving'
}

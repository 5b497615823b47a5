/** Decides whether a request waits for a backend server or is refused, from the time that its caller has left and the work of its kind. */

import type { WorkEstimate } from '../backend-choice/types.js'
import type { Millis } from '../core/tick.js'

/** A request that no server can take now. */
export interface WaitingRequest {
  readonly now: Millis
  /** Latest time at which a server may start it. */
  readonly latestStart: Millis
  /** Whether the next free place of a server is its own. */
  readonly isNext: boolean
  /** Whether requests of its rank come faster than places become free. */
  readonly isCongested: boolean
}

/** Whether a request waits on. If not: no server can finish it in time, or others will take every place that becomes free. */
export type WaitDecision = 'wait' | 'too-late' | 'congested'

/** Returns the latest time at which a request may start and still have a chance to be finished by its deadline. */
export const findLatestStart = (deadline: Millis, { leastMs }: Pick<WorkEstimate, 'leastMs'>): Millis => deadline - leastMs

/**
 * Decides on a request that waits. A queue that empties now and then absorbs bursts, so its requests may use all of their time. One that
 * never empties only delays everybody: its length adds to each wait, but not to the number of requests that are served.
 */
export const decideWait = ({ now, latestStart, isNext, isCongested }: WaitingRequest): WaitDecision => {
  if (now > latestStart) return 'too-late'
  return isCongested && !isNext ? 'congested' : 'wait'
}

/** Detects a saturated event loop. Requests then wait unread in socket buffers, a delay that the timestamps of this process do not include. */

import { performance } from 'node:perf_hooks'
import type { EventLoopUtilization } from 'node:perf_hooks'

/** Minimum time over which the utilization is measured. */
const SAMPLE_INTERVAL_MS = 100
/** Utilization above which the loop counts as saturated, 0 to 1. */
const MAX_UTILIZATION = 0.95

/** Measures the utilization of the event loop on demand, without a timer. */
export class EventLoopMonitor {
  #baseline: EventLoopUtilization = performance.eventLoopUtilization()
  #measuredAt = performance.now()
  #isSaturated = false

  /** Whether the loop was saturated over the last measurement; takes a new one when the last is at least 100 ms old. */
  isSaturated (): boolean {
    const now = performance.now()
    if (now - this.#measuredAt < SAMPLE_INTERVAL_MS) return this.#isSaturated
    const current = performance.eventLoopUtilization()
    this.#isSaturated = performance.eventLoopUtilization(current, this.#baseline).utilization > MAX_UTILIZATION
    this.#baseline = current
    this.#measuredAt = now
    return this.#isSaturated
  }
}

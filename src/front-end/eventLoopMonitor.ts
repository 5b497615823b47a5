/** Tells whether the event loop has had any rest of late: without it, requests wait unread where no clock of ours sees them. */

import { performance } from 'node:perf_hooks'
import type { EventLoopUtilization } from 'node:perf_hooks'

/** The utilization is measured over spans of this length, in milliseconds. */
const SPAN_MS = 100
/** Part of a span that the loop may be busy, 0 to 1. */
const MOST_BUSY = 0.95

/** Measures the event loop when it is asked, never by a timer of its own. */
export class EventLoopMonitor {
  #from: EventLoopUtilization = performance.eventLoopUtilization()
  #measuredAt = performance.now()
  #isSaturated = false

  /** Whether the loop was busy all the time over the last whole span. */
  isSaturated (): boolean {
    const now = performance.now()
    if (now - this.#measuredAt < SPAN_MS) return this.#isSaturated
    const current = performance.eventLoopUtilization()
    this.#isSaturated = performance.eventLoopUtilization(current, this.#from).utilization > MOST_BUSY
    this.#from = current
    this.#measuredAt = now
    return this.#isSaturated
  }
}

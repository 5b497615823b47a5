/** Counts the errors of handlers, and logs them with a rate limit. */

import { LineRateLimiter } from '../journal/eventLog.js'
import type { FaultLog } from '../process/containment.js'
import type { Log } from './log.js'
import type { Metrics } from './metrics.js'

/** The errors of the handlers of this process. */
export class HandlerFaults implements FaultLog {
  readonly #limiter = new LineRateLimiter()

  constructor (readonly metrics: Pick<Metrics, 'handlerFaults'>, readonly log: Pick<Log, 'error'>) {}

  record (listener: string, error: unknown): void {
    this.metrics.handlerFaults.inc({ listener })
    if (!this.#limiter.take(performance.now())) return
    const { droppedLines } = this.#limiter
    this.#limiter.droppedLines = 0
    this.log.error({ listener, err: error, ...droppedLines > 0 ? { droppedLines } : {} }, 'handler failed; its request or connection is closed')
  }
}

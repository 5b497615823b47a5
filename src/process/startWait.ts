/** Waiting, during a start, for what passes by itself: an address that an earlier process still uses, a file that is not there yet. */

import { setTimeout } from 'node:timers/promises'
import type { Outcome } from '../core/outcome.js'
import type { StartLog } from './stopRequest.js'

const RETRY_INTERVAL_MS = 100
/** Time that a file has to appear and to become valid. */
const FILE_WAIT_MS = 3_000
/** Time that an earlier process of the host has to give its addresses up. */
export const ADDRESS_WAIT_MS = 10_000

/** Retries steps of a start, each until a limit in milliseconds. */
export class StartWait {
  constructor (readonly log: StartLog, readonly stopRequest: AbortSignal, readonly limitMs = FILE_WAIT_MS) {}

  /** Repeats an attempt until it succeeds, fails for a reason that is not transient, the limit has passed, or the process has to stop. */
  async retry<Value, Failure> (
    attempt: () => Outcome<Value, Failure> | Promise<Outcome<Value, Failure>>,
    describe: (error: Failure) => string,
    isTransient: (error: Failure) => boolean = () => true
  ): Promise<Outcome<Value, Failure>> {
    const giveUpAt = performance.now() + this.limitMs
    let lastReason: string | null = null
    for (;;) {
      const outcome = await attempt()
      if (outcome.tag === 'ok' || !isTransient(outcome.error)) return outcome
      if (this.stopRequest.aborted || performance.now() >= giveUpAt) return outcome
      const reason = describe(outcome.error)
      if (reason !== lastReason) this.log.info({ reason, limitMs: this.limitMs }, 'waiting during the start')
      lastReason = reason
      await this.#pause()
    }
  }

  async #pause (): Promise<void> {
    try {
      await setTimeout(RETRY_INTERVAL_MS, undefined, { signal: this.stopRequest })
    } catch {
      // The process has to stop.
    }
  }
}

/** Writes decisions to the log, within a budget of lines a second; what is left out is counted and told by a line. */

import type { Millis } from '../core/tick.js'
import type { JournalRow } from './journal.js'

/** Lines a second that decisions may take. */
export const LINES_PER_SECOND = 20
/** Lines that may come at once. */
export const LINE_BURST = 60
const MS_PER_SECOND = 1_000

/** Ordinary attempts are told by metrics; a line for each would cost more than the attempt's own decision. */
const SILENT: ReadonlySet<JournalRow['decision']> = new Set(['attempt', 'shift'])

/** Where lines go. */
export interface LineSink { info (fields: Record<string, unknown>, message: string): void }

/** A log of decisions with a bounded volume. */
export class DecisionLog {
  #tokens = LINE_BURST
  #refilledAt: Millis = 0
  #left = 0

  constructor (readonly sink: LineSink) {}

  /** Writes a decision, or counts it when there were too many. */
  write (row: JournalRow): void {
    if (SILENT.has(row.decision)) return
    this.#refill(row.at)
    if (this.#tokens < 1) {
      this.#left += 1
      return
    }
    this.#tokens -= 1
    if (this.#left > 0) this.sink.info({ lines: this.#left }, 'decisions left out')
    this.#left = 0
    this.sink.info({ decision: row.decision, subject: row.subject, at: Math.round(row.at), ...row.facts, profile: row.profile }, 'decision')
  }

  #refill (now: Millis): void {
    this.#tokens = Math.min(LINE_BURST, this.#tokens + (now - this.#refilledAt) * LINES_PER_SECOND / MS_PER_SECOND)
    this.#refilledAt = now
  }
}

/** Writes events to the log, within a budget of lines a second; what is left out is counted and told by a line. */

import type { Millis } from '../core/tick.js'
import { eventRegistry } from './eventRegistry.js'
import type { JournalRow } from './journal.js'

/** Lines a second that events of one scope may take. */
export const LINES_PER_SECOND = 20
/** Lines that may come at once. */
export const LINE_BURST = 60
const MS_PER_SECOND = 1_000

/** Where lines go. */
export interface LineSink { info (fields: Record<string, unknown>, message: string): void }

type Scope = typeof eventRegistry[JournalRow['event']]['scope']

/** Lines that are left of a budget. */
class LineBudget {
  #lines = LINE_BURST
  #refilledAt: Millis = 0
  leftOut = 0

  /** Takes a line from the budget, or counts it when there were too many. */
  take (now: Millis): boolean {
    this.#lines = Math.min(LINE_BURST, this.#lines + (now - this.#refilledAt) * LINES_PER_SECOND / MS_PER_SECOND)
    this.#refilledAt = now
    if (this.#lines < 1) {
      this.leftOut += 1
      return false
    }
    this.#lines -= 1
    return true
  }
}

const messages: Readonly<Record<Scope, string>> = { request: 'decision', belief: 'belief changed' }

/** A log of events with a bounded volume; refused requests cannot crowd out lost peers. */
export class EventLog {
  readonly #budgets: Readonly<Record<Scope, LineBudget>> = { request: new LineBudget(), belief: new LineBudget() }

  constructor (readonly sink: LineSink) {}

  /** Writes an event if it is one for the log and the budget allows. */
  write (row: JournalRow): void {
    const { scope, isLogged } = eventRegistry[row.event]
    if (!isLogged) return
    const budget = this.#budgets[scope]
    if (!budget.take(row.at)) return
    if (budget.leftOut > 0) this.sink.info({ lines: budget.leftOut, scope }, 'events left out')
    budget.leftOut = 0
    this.sink.info({ event: row.event, subject: row.subject, at: Math.round(row.at), ...row.facts, profile: row.profile }, messages[scope])
  }
}

/** Writes journal events to the log, with a rate limit. Dropped events are counted and reported in a log line. */

import type { Millis } from '../core/tick.js'
import { eventRegistry } from './eventRegistry.js'
import type { JournalRow } from './journal.js'

/** Sustained rate of log lines for the events of one scope. */
export const LINES_PER_SECOND = 20
/** Log lines that may be written in one burst. */
export const LINE_BURST = 60
const MS_PER_SECOND = 1_000

/** The destination of log lines. */
export interface LineSink { info (fields: Record<string, unknown>, message: string): void }

type Scope = typeof eventRegistry[JournalRow['event']]['scope']

/** Token bucket for the log lines of one scope. */
export class LineRateLimiter {
  #tokens = LINE_BURST
  #refilledAt: Millis = 0
  droppedLines = 0

  /** Takes a token. Without one, counts the line as dropped and returns false. */
  take (now: Millis): boolean {
    this.#tokens = Math.min(LINE_BURST, this.#tokens + (now - this.#refilledAt) * LINES_PER_SECOND / MS_PER_SECOND)
    this.#refilledAt = now
    if (this.#tokens < 1) {
      this.droppedLines += 1
      return false
    }
    this.#tokens -= 1
    return true
  }
}

const messageOfScope: Readonly<Record<Scope, string>> = { request: 'decision', belief: 'belief changed' }

/** A rate-limited log of events. Each scope has its own limit, so that refused requests do not suppress events about lost peers. */
export class EventLog {
  readonly #limiters: Readonly<Record<Scope, LineRateLimiter>> = { request: new LineRateLimiter(), belief: new LineRateLimiter() }

  constructor (readonly sink: LineSink) {}

  /** Writes an event if its kind is logged and the rate limit allows it. */
  write (row: JournalRow): void {
    const { scope, isLogged } = eventRegistry[row.event]
    if (!isLogged) return
    const limiter = this.#limiters[scope]
    if (!limiter.take(row.at)) return
    if (limiter.droppedLines > 0) this.sink.info({ lines: limiter.droppedLines, scope }, 'events dropped by the rate limit')
    limiter.droppedLines = 0
    this.sink.info({ event: row.event, subject: row.subject, at: Math.round(row.at), ...row.facts, profile: row.profile }, messageOfScope[scope])
  }
}

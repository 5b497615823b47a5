/** Sums the bytes that a process sends on its links, and writes the sums to the log at intervals. */

import type { Log } from './log.js'

/** Interval between two log lines. */
const SUMMARY_INTERVAL_MS = 15_000

/** Bytes sent since the last log line, by kind of message and distance. */
export class LinkTraffic {
  #sent = new Map<string, number>()
  readonly #timer: NodeJS.Timeout

  constructor (readonly log: Log) {
    this.#timer = setInterval(() => { this.writeSummary() }, SUMMARY_INTERVAL_MS)
    this.#timer.unref()
  }

  /** Counts a message that was sent. */
  countSent (kind: string, scope: string, bytes: number): void {
    const key = `${kind} ${scope}`
    this.#sent.set(key, (this.#sent.get(key) ?? 0) + bytes)
  }

  /** Writes the sums since the last line; nothing when no message was sent. */
  writeSummary (): void {
    if (this.#sent.size === 0) return
    const sentBytes = Object.fromEntries([...this.#sent].sort((a, b) => b[1] - a[1]))
    this.#sent = new Map()
    this.log.info({ sentBytes }, 'bytes sent on links')
  }

  /** Stops the log lines. */
  close (): void { clearInterval(this.#timer) }
}

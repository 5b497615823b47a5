/** Reports how much of the disk the log takes, and warns before it is full. */

import type { Log } from './log.js'
import type { Metrics } from './metrics.js'

/** Fraction of the disk from which the log is reported as large. A snapshot needs room for a second file while it is written. */
const WARNING_FRACTION = 0.4

/** The size of the log on this host. */
export class DiskUse {
  #isLarge = false

  /** `diskBytes` is the size of the disk; null if it is unknown. */
  constructor (readonly metrics: Pick<Metrics, 'diskBytes'>, readonly log: Pick<Log, 'warn' | 'info'>, readonly diskBytes: number | null) {}

  /** Records the size of the log file, in bytes. */
  record (bytes: number): void {
    this.metrics.diskBytes.set(bytes)
    if (this.diskBytes === null) return
    const isLarge = bytes > this.diskBytes * WARNING_FRACTION
    if (isLarge === this.#isLarge) return
    this.#isLarge = isLarge
    const facts = { bytes, diskBytes: this.diskBytes }
    if (isLarge) this.log.warn(facts, 'the log takes a large part of the disk')
    else this.log.info(facts, 'the log is small again')
  }
}

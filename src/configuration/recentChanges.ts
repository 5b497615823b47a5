/** Keeps recent changes, so that a host that lags a little behind can catch up without a full snapshot. */

import { estimateCommandBytes } from '../plan/planSize.js'
import type { Change, LogIndex } from './types.js'

/** Larger series of changes are sent as a snapshot, which has only the newest of all the plans. */
export const MAX_RECENT_CHANGES_BYTES = 256 * 1024

/** A list of consecutive changes, bounded by their estimated size. */
export class RecentChanges {
  #changes: Change[] = []
  #bytes = 0

  /** Estimated size of the changes, in bytes. */
  get bytes (): number { return this.#bytes }

  /** Adds a change; drops older ones, and the change itself if it alone exceeds the bound. */
  add (change: Change): void {
    const last = this.#changes.at(-1)
    if (last !== undefined && change.index !== last.index + 1) this.clear()
    this.#changes.push(change)
    this.#bytes += estimateCommandBytes(change.envelope)
    this.#dropOldest()
  }

  /** Returns all changes after an index, or null when some of them have been dropped. */
  after (index: LogIndex): readonly Change[] | null {
    const first = this.#changes[0]
    if (first === undefined || first.index > index + 1) return null
    return this.#changes.slice(index + 1 - first.index)
  }

  clear (): void {
    this.#changes = []
    this.#bytes = 0
  }

  #dropOldest (): void {
    let dropped = 0
    for (const { envelope } of this.#changes) {
      if (this.#bytes <= MAX_RECENT_CHANGES_BYTES) break
      this.#bytes -= estimateCommandBytes(envelope)
      dropped += 1
    }
    if (dropped > 0) this.#changes = this.#changes.slice(dropped)
  }
}

/** Keeps recent changes, so that a host that lags a little behind can catch up without a full snapshot. */

import type { Change, LogIndex } from './types.js'

/** Number of changes that remain when older ones are dropped. Twice as many may be kept before that. */
export const MIN_RETAINED_CHANGES = 256

/** A bounded list of consecutive changes. */
export class RecentChanges {
  #changes: Change[] = []

  add (change: Change): void {
    const last = this.#changes.at(-1)
    if (last !== undefined && change.index !== last.index + 1) this.#changes = []
    this.#changes.push(change)
    if (this.#changes.length > 2 * MIN_RETAINED_CHANGES) this.#changes = this.#changes.slice(-MIN_RETAINED_CHANGES)
  }

  /** Returns all changes after an index, or null when some of them have been dropped. */
  after (index: LogIndex): readonly Change[] | null {
    const first = this.#changes[0]
    if (first === undefined || first.index > index + 1) return null
    return this.#changes.slice(index + 1 - first.index)
  }

  clear (): void { this.#changes = [] }
}

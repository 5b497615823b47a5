/** The last changes, kept so that a host a little behind catches up without a whole snapshot. */

import type { Change, LogIndex } from './types.js'

/** Changes kept for hosts that are a little behind. */
export const MIN_RETAINED_CHANGES = 256

/** A bounded run of consecutive changes. */
export class RecentChanges {
  #changes: Change[] = []

  add (change: Change): void {
    const last = this.#changes.at(-1)
    if (last !== undefined && change.index !== last.index + 1) this.#changes = []
    this.#changes.push(change)
    if (this.#changes.length > 2 * MIN_RETAINED_CHANGES) this.#changes = this.#changes.slice(-MIN_RETAINED_CHANGES)
  }

  /** All changes after an index, or null when some of them are no longer kept. */
  after (index: LogIndex): readonly Change[] | null {
    const first = this.#changes[0]
    if (first === undefined || first.index > index + 1) return null
    return this.#changes.slice(index + 1 - first.index)
  }

  clear (): void { this.#changes = [] }
}

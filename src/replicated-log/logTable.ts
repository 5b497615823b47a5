/** The entries after the last snapshot, by index. */

import type { LogIndex } from '../configuration/types.js'
import { invariant } from '../core/outcome.js'

interface Position { readonly index: LogIndex, readonly term: number }

/** A run of consecutive entries that follows a known index and term. */
export class LogTable<Entry extends Position> {
  #entries: Entry[] = []
  #baseIndex: LogIndex
  #baseTerm: number

  constructor (baseIndex: LogIndex, baseTerm: number, entries: readonly Entry[]) {
    this.#baseIndex = baseIndex
    this.#baseTerm = baseTerm
    for (const entry of entries) this.append(entry)
  }

  get baseIndex (): LogIndex { return this.#baseIndex }

  get lastIndex (): LogIndex { return this.#baseIndex + this.#entries.length }

  get lastTerm (): number { return this.#entries.at(-1)?.term ?? this.#baseTerm }

  get (index: LogIndex): Entry | undefined { return this.#entries[index - this.#baseIndex - 1] }

  /** The term at an index; undefined outside the table. */
  termAt (index: LogIndex): number | undefined {
    return index === this.#baseIndex ? this.#baseTerm : this.get(index)?.term
  }

  append (entry: Entry): void {
    invariant(entry.index === this.lastIndex + 1, `entry ${entry.index} does not follow ${this.lastIndex}`)
    this.#entries.push(entry)
  }

  /** Drops this index and everything after it. */
  truncateFrom (index: LogIndex): void {
    invariant(index > this.#baseIndex, 'entries of a snapshot are committed and cannot be dropped')
    this.#entries.length = Math.max(0, index - this.#baseIndex - 1)
  }

  /** Up to a number of entries from an index on. */
  slice (from: LogIndex, most: number): readonly Entry[] {
    const offset = from - this.#baseIndex - 1
    return this.#entries.slice(offset, offset + most)
  }

  /** Forgets the entries up to an index. */
  compact (index: LogIndex): void {
    const term = this.termAt(index)
    invariant(term !== undefined, `no entry at ${index}`)
    this.#entries = this.#entries.slice(index - this.#baseIndex)
    this.#baseIndex = index
    this.#baseTerm = term
  }

  /** Starts anew after a snapshot. */
  reset (index: LogIndex, term: number): void {
    this.#entries = []
    this.#baseIndex = index
    this.#baseTerm = term
  }

  rows (): readonly Entry[] { return this.#entries }
}

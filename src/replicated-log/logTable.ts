/** In-memory log: the entries after the last snapshot, by index. */

import type { LogIndex } from '../configuration/types.js'
import { invariant } from '../core/outcome.js'

interface Position { readonly index: LogIndex, readonly term: number }

/** Consecutive entries that follow a base index and its term. */
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

  /** Returns the term at an index; undefined outside the table. */
  termAt (index: LogIndex): number | undefined {
    return index === this.#baseIndex ? this.#baseTerm : this.get(index)?.term
  }

  append (entry: Entry): void {
    invariant(entry.index === this.lastIndex + 1, `cannot append entry ${entry.index} after index ${this.lastIndex}`)
    this.#entries.push(entry)
  }

  /** Drops the entry at the index and all later ones. */
  truncateFrom (index: LogIndex): void {
    invariant(index > this.#baseIndex, 'cannot truncate entries that are covered by a snapshot: they are committed')
    this.#entries.length = Math.max(0, index - this.#baseIndex - 1)
  }

  /** Returns up to `limit` entries, beginning at an index. */
  slice (from: LogIndex, limit: number): readonly Entry[] {
    const offset = from - this.#baseIndex - 1
    return this.#entries.slice(offset, offset + limit)
  }

  /** Drops the entries up to and including the index, which becomes the base. */
  compact (index: LogIndex): void {
    const term = this.termAt(index)
    invariant(term !== undefined, `cannot compact the log at ${index}: no entry at this index`)
    this.#entries = this.#entries.slice(index - this.#baseIndex)
    this.#baseIndex = index
    this.#baseTerm = term
  }

  /** Drops all entries and starts after an installed snapshot. */
  reset (index: LogIndex, term: number): void {
    this.#entries = []
    this.#baseIndex = index
    this.#baseTerm = term
  }

  rows (): readonly Entry[] { return this.#entries }
}

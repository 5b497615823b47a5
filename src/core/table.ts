/** Entity tables. Small tables hold one object per row; large tables store columns (see lookup/blockTable.ts). */

import { invariant } from './outcome.js'

/** The interface of a table, independent of its storage. */
export interface Table<K, Row> {
  readonly size: number
  get (key: K): Row | undefined
  has (key: K): boolean
  put (row: Row): void
  remove (key: K): boolean
  rows (): Iterable<Row>
}

/** A table with one object per row. The optional group index lets a system visit only the rows that it processes. */
export class RowTable<K extends string | number, Row> implements Table<K, Row> {
  readonly #rows = new Map<K, Row>()
  readonly #groups = new Map<string, Map<K, Row>>()
  readonly #groupOfKey = new Map<K, string>()
  #revision = 0

  constructor (
    readonly keyOf: (row: Row) => K,
    readonly groupOf?: (row: Row) => string
  ) {}

  get size (): number { return this.#rows.size }

  /** Incremented by every insertion, replacement and removal. Data derived from the table is stale if the revision has changed. */
  get revision (): number { return this.#revision }

  get (key: K): Row | undefined { return this.#rows.get(key) }

  has (key: K): boolean { return this.#rows.has(key) }

  /** Inserts or replaces a row. Must be called again after a change to a row that moves it to another group. */
  put (row: Row): void {
    const key = this.keyOf(row)
    this.#revision += 1
    this.#rows.set(key, row)
    if (this.groupOf === undefined) return
    const name = this.groupOf(row)
    // A row that stays in its group keeps its position in the insertion order.
    if (this.#groupOfKey.get(key) !== name) this.#removeFromGroup(key)
    let group = this.#groups.get(name)
    if (group === undefined) this.#groups.set(name, group = new Map())
    group.set(key, row)
    this.#groupOfKey.set(key, name)
  }

  remove (key: K): boolean {
    this.#revision += 1
    this.#removeFromGroup(key)
    return this.#rows.delete(key)
  }

  clear (): void {
    this.#revision += 1
    this.#rows.clear()
    this.#groups.clear()
    this.#groupOfKey.clear()
  }

  rows (): Iterable<Row> { return this.#rows.values() }

  /** Returns the row that was inserted first. */
  first (): Row | undefined { return this.#rows.values().next().value }

  /** Returns a copy of the rows of a group, in insertion order. The table may be changed while iterating over it. */
  group (name: string): Row[] {
    invariant(this.groupOf !== undefined, 'the table has no group index')
    const group = this.#groups.get(name)
    return group === undefined ? [] : [...group.values()]
  }

  /** Returns the names of the groups that have rows. */
  groupNames (): string[] { return [...this.#groups.keys()] }

  groupSize (name: string): number { return this.#groups.get(name)?.size ?? 0 }

  #removeFromGroup (key: K): void {
    const name = this.#groupOfKey.get(key)
    if (name === undefined) return
    const group = this.#groups.get(name)
    group?.delete(key)
    if (group?.size === 0) this.#groups.delete(name)
    this.#groupOfKey.delete(key)
  }
}

/** A bounded journal of events, from which `explain` tells what was seen and which figures decided. */

import type { Millis } from '../core/tick.js'
import type { EventFacts, EventKind } from './eventRegistry.js'

/** Events that one host keeps. */
export const JOURNAL_CAPACITY = 4_096

interface Note<K extends EventKind> {
  readonly at: Millis
  readonly event: K
  /** The request, backend server, host or other thing that it concerns. */
  readonly subject: string
  /** The rules and figures behind it. */
  readonly facts: EventFacts<K>
  /** The profile that was in force, as NAME@VERSION; null where none decided. */
  readonly profile: string | null
}

/** One event. */
export type JournalRow = { readonly [K in EventKind]: Note<K> }[EventKind]

/** A ring of the latest events. */
export class Journal {
  readonly #rows: JournalRow[] = []
  #next = 0
  /** Takes each event as it is noted. */
  onAppend: ((row: JournalRow) => void) | null = null

  append (row: JournalRow): void {
    this.onAppend?.(row)
    this.#rows[this.#next] = row
    this.#next = (this.#next + 1) % JOURNAL_CAPACITY
  }

  /** Events about a subject, oldest first. */
  eventsAbout (subject: string): JournalRow[] {
    const rows = this.#rows.filter(row => row.subject === subject)
    return rows.sort((a, b) => a.at - b.at)
  }

  /** The latest events, newest first. */
  latest (most: number): JournalRow[] {
    const rows: JournalRow[] = []
    for (let step = 1; step <= Math.min(most, this.#rows.length); step += 1) {
      const row = this.#rows[(this.#next - step + JOURNAL_CAPACITY) % JOURNAL_CAPACITY]
      if (row !== undefined) rows.push(row)
    }
    return rows
  }
}

/** Tables of the journal. */
export interface JournalTables { readonly journal: Journal }

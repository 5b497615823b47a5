/** The in-memory journal of a process: its latest events with the values behind each decision. Read by the `explain` command. */

import type { Millis } from '../core/tick.js'
import type { EventFacts, EventKind } from './eventRegistry.js'

/** Number of events that the journal keeps. */
export const JOURNAL_CAPACITY = 4_096

interface EventRecord<K extends EventKind> {
  readonly at: Millis
  readonly event: K
  /** The id of the request, backend server, host or other entity that the event is about. */
  readonly subject: string
  /** The values behind the event. */
  readonly facts: EventFacts<K>
  /** The steering profile that applied, as NAME@VERSION; null if none did. */
  readonly profile: string | null
}

export type JournalRow = { readonly [K in EventKind]: EventRecord<K> }[EventKind]

/** A ring buffer of the latest events. */
export class Journal {
  readonly #rows: JournalRow[] = []
  #next = 0
  /** Called with each appended event. */
  onAppend: ((row: JournalRow) => void) | null = null

  append (row: JournalRow): void {
    this.onAppend?.(row)
    this.#rows[this.#next] = row
    this.#next = (this.#next + 1) % JOURNAL_CAPACITY
  }

  /** Returns the events about a subject, oldest first. */
  eventsAbout (subject: string): JournalRow[] {
    const rows = this.#rows.filter(row => row.subject === subject)
    return rows.sort((a, b) => a.at - b.at)
  }

  /** Returns up to `limit` latest events, newest first. */
  latest (limit: number): JournalRow[] {
    const rows: JournalRow[] = []
    for (let step = 1; step <= Math.min(limit, this.#rows.length); step += 1) {
      const row = this.#rows[(this.#next - step + JOURNAL_CAPACITY) % JOURNAL_CAPACITY]
      if (row !== undefined) rows.push(row)
    }
    return rows
  }
}

export interface JournalTables { readonly journal: Journal }

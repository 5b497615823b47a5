/** A bounded journal of decisions, from which `explain` tells what was seen and which figures decided. */

import type { Millis } from '../core/tick.js'

/** Decisions that one host keeps. */
export const JOURNAL_ROWS = 4_096

/** One decision. */
export interface JournalRow {
  readonly at: Millis
  /** What was decided. */
  readonly decision: 'refused' | 'attempt' | 'retry' | 'ejected' | 'condemned' | 'shift' | 'shift-capped'
  /** The exchange, backend server or service that it concerns. */
  readonly subject: string
  /** The rules and figures that decided. */
  readonly facts: Readonly<Record<string, string | number | boolean | null>>
  /** The profile that was in force, as NAME@VERSION; null where none decided. */
  readonly profile: string | null
}

/** A ring of the latest decisions. */
export class Journal {
  readonly #rows: JournalRow[] = []
  #next = 0
  /** Takes each decision as it is noted. */
  onNote: ((row: JournalRow) => void) | null = null

  note (row: JournalRow): void {
    this.onNote?.(row)
    this.#rows[this.#next] = row
    this.#next = (this.#next + 1) % JOURNAL_ROWS
  }

  /** Decisions about a subject, oldest first. */
  about (subject: string): JournalRow[] {
    const rows = this.#rows.filter(row => row.subject === subject)
    return rows.sort((a, b) => a.at - b.at)
  }

  /** The latest decisions, newest first. */
  latest (most: number): JournalRow[] {
    const rows: JournalRow[] = []
    for (let step = 1; step <= Math.min(most, this.#rows.length); step += 1) {
      const row = this.#rows[(this.#next - step + JOURNAL_ROWS) % JOURNAL_ROWS]
      if (row !== undefined) rows.push(row)
    }
    return rows
  }
}

/** Tables of the journal. */
export interface JournalTables { readonly journal: Journal }

/** What a process believes of the things that it depends on. */

import type { RowTable } from '../core/table.js'
import type { JournalRow } from '../journal/journal.js'

/** Events that tell of a changed belief. */
export type BeliefKind = 'peer' | 'backend' | 'configuration' | 'quorum' | 'leader'

type BeliefNote = Extract<JournalRow, { event: BeliefKind }>

/** What is believed of one subject, with the figures behind it. */
export type Belief = BeliefNote extends infer Note
  ? Note extends BeliefNote ? { readonly event: Note['event'], readonly subject: string, readonly state: string, readonly facts: Omit<Note['facts'], 'from' | 'to'> } : never
  : never

/** What was noted last of a subject. */
export interface BeliefRow {
  readonly key: string
  readonly state: string
  /** The round in which the subject was last seen. */
  round: number
}

/** Tables of beliefs. */
export interface BeliefTables { readonly beliefs: RowTable<string, BeliefRow> }

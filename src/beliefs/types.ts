/** Types of beliefs: the local view that a process has of the subjects that it depends on. */

import type { RowTable } from '../core/table.js'
import type { JournalRow } from '../journal/journal.js'

/** Journal events for changes of a belief. */
export type BeliefKind = 'peer' | 'backend' | 'configuration' | 'quorum' | 'leader' | 'group' | 'entry-hosts'

type BeliefEvent = Extract<JournalRow, { event: BeliefKind }>

/** Observed state of one subject, with the figures that led to it. */
export type Belief = BeliefEvent extends infer Event
  ? Event extends BeliefEvent ? { readonly event: Event['event'], readonly subject: string, readonly state: string, readonly facts: Omit<Event['facts'], 'from' | 'to'> } : never
  : never

/** Last recorded state of a subject. */
export interface BeliefRow {
  readonly key: string
  readonly event: BeliefKind
  readonly state: string
  /** Comparison round in which the subject was last present. */
  round: number
}

export interface BeliefTables { readonly beliefs: RowTable<string, BeliefRow> }

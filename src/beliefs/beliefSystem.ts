/** Records each change of a belief in the journal: lost and recovered peers, backend servers, leader, quorum; new configurations. */

import { RowTable } from '../core/table.js'
import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import type { JournalRow, JournalTables } from '../journal/journal.js'
import type { BeliefSource } from './beliefSources.js'
import type { Belief, BeliefKind, BeliefRow, BeliefTables } from './types.js'

/** Minimum time between two comparisons. */
export const COMPARISON_INTERVAL_MS: Millis = 200

type BeliefSystemTables = BeliefTables & JournalTables

const keyOf = ({ event, subject }: Belief): string => `${event}/${subject}`

export const createBeliefs = (): BeliefTables => ({ beliefs: new RowTable<string, BeliefRow>(row => row.key) })

/** Compares beliefs with the last recorded ones. It sets no deadline of its own and only runs along with other ticks. */
export class BeliefSystem<Tables extends BeliefSystemTables> implements System<Tables, unknown, unknown> {
  readonly name = 'belief'
  #nextComparisonAt: Millis = 0
  #round = 0
  /** Revision of the table that each source was last read at. */
  readonly #revisions = new Map<BeliefKind, number>()

  constructor (readonly sources: ReadonlyArray<BeliefSource<Tables>>) {}

  run (tick: Tick<Tables, unknown, unknown>): void {
    if (tick.now < this.#nextComparisonAt) return
    this.#nextComparisonAt = tick.now + COMPARISON_INTERVAL_MS
    this.#round += 1
    for (const source of this.sources) {
      const revision = source.revision(tick.tables)
      if (revision !== null && revision === this.#revisions.get(source.event)) continue
      if (revision !== null) this.#revisions.set(source.event, revision)
      this.#readSource(tick, source)
    }
  }

  deadline (): Millis { return NEVER }

  #readSource (tick: Tick<Tables, unknown, unknown>, source: BeliefSource<Tables>): void {
    for (const belief of source.read(tick.tables, tick.now)) this.#compare(tick, belief, source.unloggedState)
    for (const row of [...tick.tables.beliefs.rows()]) {
      if (row.event === source.event && row.round !== this.#round) tick.tables.beliefs.remove(row.key)
    }
  }

  #compare (tick: Tick<Tables, unknown, unknown>, belief: Belief, unloggedState: string | null): void {
    const key = keyOf(belief)
    const known = tick.tables.beliefs.get(key)
    if (known?.state === belief.state) {
      known.round = this.#round
      return
    }
    tick.tables.beliefs.put({ key, event: belief.event, state: belief.state, round: this.#round })
    if (known === undefined && belief.state === unloggedState) return
    const facts = { from: known?.state ?? null, to: belief.state, ...belief.facts }
    // The facts belong to the event of the same belief; the compiler can't infer that for the union.
    tick.tables.journal.append({ at: tick.now, event: belief.event, subject: belief.subject, facts, profile: null } as JournalRow)
  }
}

/** Notes in the journal what a process believes anew: lost and regained peers, servers, leader and quorum, another configuration. */

import { RowTable } from '../core/table.js'
import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import type { JournalRow, JournalTables } from '../journal/journal.js'
import type { BeliefSource } from './beliefSources.js'
import type { Belief, BeliefRow, BeliefTables } from './types.js'

/** Beliefs are compared this often at most. */
export const ROUND_INTERVAL: Millis = 200

type Noting = BeliefTables & JournalTables

const keyOf = ({ event, subject }: Belief): string => `${event}/${subject}`

/** Creates the table of beliefs. */
export const createBeliefs = (): BeliefTables => ({ beliefs: new RowTable<string, BeliefRow>(row => row.key) })

/** The system of beliefs; it wakes nobody and compares when a tick runs anyway. */
export class BeliefSystem<Tables extends Noting> implements System<Tables, unknown, unknown> {
  readonly name = 'belief'
  #nextAt: Millis = 0
  #round = 0

  constructor (readonly sources: ReadonlyArray<BeliefSource<Tables>>) {}

  run (tick: Tick<Tables, unknown, unknown>): void {
    if (tick.now < this.#nextAt) return
    this.#nextAt = tick.now + ROUND_INTERVAL
    this.#round += 1
    for (const source of this.sources) {
      for (const belief of source.read(tick.tables, tick.now)) this.#compare(tick, belief, source.unloggedState)
    }
    for (const row of [...tick.tables.beliefs.rows()]) {
      if (row.round !== this.#round) tick.tables.beliefs.remove(row.key)
    }
  }

  deadline (): Millis { return NEVER }

  #compare (tick: Tick<Tables, unknown, unknown>, belief: Belief, ordinary: string | null): void {
    const key = keyOf(belief)
    const known = tick.tables.beliefs.get(key)
    if (known?.state === belief.state) {
      known.round = this.#round
      return
    }
    tick.tables.beliefs.put({ key, state: belief.state, round: this.#round })
    if (known === undefined && belief.state === ordinary) return
    const facts = { from: known?.state ?? null, to: belief.state, ...belief.facts }
    // The facts belong to the event of the same belief, which the compiler cannot see through the union.
    tick.tables.journal.append({ at: tick.now, event: belief.event, subject: belief.subject, facts, profile: null } as JournalRow)
  }
}

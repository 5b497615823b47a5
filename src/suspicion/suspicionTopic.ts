/** Rumors about requests that crash servers. */

import type { RumorTopic } from '../membership/rumorTopic.js'
import { mergeSuspicion } from './suspicion.js'

/** The topic of suspicions. */
export const suspicionTopic: RumorTopic<'suspicion'> = {
  key: rumor => `suspicion/${rumor.suspicion.suspect}`,
  version: ({ suspicion }) => `${suspicion.crashes.length} ${suspicion.cleared.length}`,
  isRetransmitted: true,
  merge: (tick, rumor) => mergeSuspicion(tick.tables, rumor.suspicion, tick.now) !== null,
  all: function * (tables) {
    for (const row of tables.suspicions.rows()) yield { topic: 'suspicion', suspicion: row.suspicion }
  },
  withAddedAge: rumor => rumor
}

/** Rumors about withdrawn keys. */

import type { RumorTopic } from '../membership/rumorTopic.js'

/** The topic of withdrawals. */
export const withdrawalTopic: RumorTopic<'withdrawal'> = {
  key: rumor => `withdrawal/${rumor.digest}`,
  version: () => '',
  isRetransmitted: true,
  merge: (tick, rumor) => {
    if (tick.tables.withdrawals.has(rumor.digest)) return false
    tick.tables.withdrawals.put({ digest: rumor.digest })
    return true
  },
  all: function * (tables) {
    for (const row of tables.withdrawals.rows()) yield { topic: 'withdrawal', digest: row.digest }
  },
  withAddedAge: rumor => rumor
}

/** Whether an entry host can serve callers. */

import type { EntryTables } from './types.js'

/** Ready with a confirmed configuration, until it begins to leave. */
export const isReady = ({ lifecycle, gossip, configuration }: EntryTables): boolean =>
  lifecycle.phase === 'serving' && gossip.confirmedAt !== null && configuration.index > 0 && configuration.services.size > 0

/** Whether an entry host can serve callers. */

import type { EntryTables } from './types.js'

/** Ready with a confirmed configuration and some backend server heard of, until it begins to leave. */
export const isReady = ({ lifecycle, gossip, configuration, backends }: EntryTables): boolean =>
  lifecycle.phase === 'serving' && gossip.confirmedAt !== null && configuration.services.size > 0 && backends.size > 0

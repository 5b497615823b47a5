/** Whether an entry host can serve callers. */

import { lenderLoanExpiry } from '../admission/allowanceBucket.js'
import { findOutOfServiceReason } from '../backend-choice/candidates.js'
import type { Millis } from '../core/tick.js'
import type { EntryTables } from './types.js'

const hasServer = (tables: EntryTables): boolean => {
  for (const row of tables.backends.rows()) {
    if (findOutOfServiceReason(tables, row) === null) return true
  }
  return false
}

/** Ready with a confirmed configuration, a backend server in service and allowances that earn, until it begins to leave. */
export const isReady = (tables: EntryTables, now: Millis): boolean => {
  const { lifecycle, gossip, configuration, homeHistory } = tables
  if (lifecycle.phase !== 'serving' || gossip.confirmedAt === null || configuration.services.size === 0) return false
  // Before that it would refuse nearly every call as over its rate.
  return now >= lenderLoanExpiry(homeHistory.startedAt) && hasServer(tables)
}

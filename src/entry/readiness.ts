/** Readiness of an entry host. */

import { lenderLoanExpiry } from '../admission/allowanceBucket.js'
import { findOutOfServiceReason } from '../backend-choice/candidates.js'
import type { Millis } from '../core/tick.js'
import type { EntryTables } from './types.js'

const hasAvailableServer = (tables: EntryTables): boolean => {
  for (const row of tables.backends.rows()) {
    if (findOutOfServiceReason(tables, row) === null) return true
  }
  return false
}

/**
 * Returns whether the host is ready: it has a confirmed configuration, an available backend server and token buckets that
 * refill, and is not shutting down.
 */
export const isReady = (tables: EntryTables, now: Millis): boolean => {
  const { lifecycle, gossip, configuration, homeHistory } = tables
  if (lifecycle.phase !== 'serving' || gossip.confirmedAt === null || configuration.services.size === 0) return false
  // Token buckets are not refilled until every loan made before a restart has ended. Until then nearly every request would be
  // refused as over its rate.
  return now >= lenderLoanExpiry(homeHistory.startedAt) && hasAvailableServer(tables)
}

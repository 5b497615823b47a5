/** Readiness of an entry host. */

import { lenderLoanExpiry } from '../admission/allowanceBucket.js'
import { findOutOfServiceReason } from '../backend-choice/candidates.js'
import type { Millis } from '../core/tick.js'
import type { EntryTables } from './types.js'

/** The condition that a host lacks to be ready. */
export type UnreadyReason = 'stopping' | 'configuration-not-loaded' | 'no-service' | 'allowance-on-loan' | 'no-backend'

const hasAvailableServer = (tables: EntryTables): boolean => {
  for (const row of tables.backends.rows()) {
    if (findOutOfServiceReason(tables, row) === null) return true
  }
  return false
}

/**
 * Returns why the host is not ready, or null if it is: it has a confirmed configuration, an available backend server and token
 * buckets that refill, and is not shutting down.
 */
export const findUnreadyReason = (tables: EntryTables, now: Millis): UnreadyReason | null => {
  const { lifecycle, gossip, configuration, homeHistory } = tables
  if (lifecycle.phase !== 'serving') return 'stopping'
  if (gossip.confirmedAt === null) return 'configuration-not-loaded'
  if (configuration.services.size === 0) return 'no-service'
  // Token buckets are not refilled until every loan made before a restart has ended. Until then nearly every request would be
  // refused as over its rate.
  if (now < lenderLoanExpiry(homeHistory.startedAt)) return 'allowance-on-loan'
  return hasAvailableServer(tables) ? null : 'no-backend'
}

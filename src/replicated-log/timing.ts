/** Timeouts and intervals of the Raft protocol. */

import type { Millis } from '../core/tick.js'

/** Minimum time without contact to a leader before an election starts. */
export const ELECTION_TIMEOUT_MS: Millis = 1_000
/** Minimum delay before a failed campaign is repeated; longer than a vote between regions takes, including the disk sync. */
export const CAMPAIGN_RETRY_MS: Millis = 300
export const HEARTBEAT_INTERVAL_MS: Millis = 300
/** Time that a starting replica waits for an existing leader; enough for a new connection and one heartbeat. */
export const STARTUP_GRACE_MS: Millis = 500

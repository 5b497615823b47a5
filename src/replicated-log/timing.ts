/** Times of the log protocol. */

import type { Millis } from '../core/tick.js'

/** Shortest silence of a leader after which another may be elected. */
export const ELECTION_TIMEOUT_MS: Millis = 1_000
/** Shortest time after which a campaign without enough votes is begun again: longer than a vote takes between regions, its sync included. */
export const CAMPAIGN_RETRY: Millis = 300
/** Time between two heartbeats of a leader. */
export const HEARTBEAT: Millis = 300
/** A replica that starts waits this long for a leader that is there: it would hear a heartbeat, a new connection to it included. */
export const STARTUP_GRACE_MS: Millis = 500

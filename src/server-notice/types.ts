/** Types of notices: what backend servers say about themselves beside their answers. */

import type { Millis } from '../core/tick.js'

/** A notice in the head of an answer. */
export interface ServerNotice {
  /** Whether the server is about to stop and wants no new requests. */
  readonly isLeaving: boolean
  /** Time for which the server wants no requests from this host; null if it did not ask for a pause. */
  readonly pauseMs: Millis | null
}

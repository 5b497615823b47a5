/** Types of suspicions: requests that may crash the servers that run them. */

import type { Id } from '../core/id.js'
import type { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'

/** Digest of a request: service, workspace, method, path and body. */
export type SuspectId = Id<'Suspect'>

/** Crashes of one request that hosts keep and exchange. */
export const MAX_CRASHES = 64

/** Crashes attributed to a request, as hosts exchange them by gossip. */
export interface Suspicion {
  readonly suspect: SuspectId
  /** Servers that crashed while they ran the request, each with the epoch of its process. */
  readonly crashes: readonly string[]
  /** The crashes that were cleared by a later complete run of the request. */
  readonly cleared: readonly string[]
}

/** A suspicion as stored on this host. */
export interface SuspicionRow {
  suspicion: Suspicion
  expiresAt: Millis
}

/** Tables of suspicion. */
export interface SuspicionTables {
  readonly suspicions: RowTable<SuspectId, SuspicionRow>
}

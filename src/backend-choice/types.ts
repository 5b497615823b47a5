/** Types for the choice of a backend server. */

import type { ObjectAffinity } from '../affinity/types.js'
import type { Millis } from '../core/tick.js'
import type { Random } from '../core/random.js'
import type { RegionId } from '../core/id.js'
import type { BackendRow } from '../announcement/types.js'
import type { Member } from '../membership/types.js'

/** Expected work times of a request at a server with a free slot. */
export interface WorkEstimate {
  /** With the object cached. */
  readonly warmMs: Millis
  /** Without the object cached. */
  readonly coldMs: Millis
  /** Mean over all requests of the service, used for the wait for a slot. */
  readonly meanMs: Millis
  /** Hardly any request takes less; 0 while nothing is known. */
  readonly leastMs: Millis
  /** Whether any answer to such a request, or to another one of its service, has been seen. */
  readonly isMeasured: boolean
}

/** Input of a choice. */
export interface ChoiceInput {
  readonly now: Millis
  readonly random: Random
  /** This host, from which distances are measured. */
  readonly self: Member
  /** Servers that may get the request and have capacity, as far as this host knows. */
  readonly candidates: readonly BackendRow[]
  /** Returns how likely a server has the request's object cached. */
  readonly affinityOf: (row: BackendRow) => ObjectAffinity
  /** Whether the request names an object, so that servers which have it cached are faster. */
  readonly concernsObject: boolean
  readonly work: WorkEstimate
  /** Returns the network round trip to a region. */
  readonly roundTrip: (region: RegionId) => Millis
}

/** A policy that chooses among backend servers. */
export interface BackendChoice {
  readonly name: string
  /** Whether it prefers near servers by how much nearer they are, so that nothing else has to keep requests in their region. */
  readonly weighsDistance: boolean
  /** Returns the chosen server; undefined if no candidate is suitable. */
  choose (input: ChoiceInput): BackendRow | undefined
}

/** Choice of the backend server for an attempt. */

import type { ObjectAffinity } from '../affinity/types.js'
import type { Millis } from '../core/tick.js'
import type { Random } from '../core/random.js'
import type { RegionId } from '../core/id.js'
import type { BackendRow } from '../announcement/types.js'
import type { Member } from '../membership/types.js'

/** Time that requests of one kind take at a server with a free slot. */
export interface WorkEstimate {
  /** Where the server knows the object. */
  readonly warmMs: Millis
  /** Where it does not. */
  readonly coldMs: Millis
  /** Of all requests that the service's servers run, for the wait behind them. */
  readonly meanMs: Millis
}

/** What a choice is made from. */
export interface ChoiceInput {
  readonly now: Millis
  readonly random: Random
  /** This host, for distances. */
  readonly self: Member
  /** Servers that may be used and have a slot free as far as this host knows. */
  readonly candidates: readonly BackendRow[]
  /** How likely a server is to know the request's object. */
  readonly affinityOf: (row: BackendRow) => ObjectAffinity
  /** Whether the request concerns an object, so that servers that know it are faster. */
  readonly concernsObject: boolean
  readonly work: WorkEstimate
  /** Time to a region and back. */
  readonly roundTrip: (region: RegionId) => Millis
}

/** A way to choose among backend servers. */
export interface BackendChoice {
  readonly name: string
  choose (input: ChoiceInput): BackendRow | undefined
}

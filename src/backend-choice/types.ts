/** Choice of the backend server for an attempt. */

import type { Millis } from '../core/tick.js'
import type { Random } from '../core/random.js'
import type { RegionId } from '../core/id.js'
import type { BackendRow } from '../announcement/types.js'
import type { Member } from '../membership/types.js'

/** What a choice is made from. */
export interface ChoiceInput {
  readonly now: Millis
  readonly random: Random
  /** This host, for distances. */
  readonly self: Member
  /** Servers that may be used and have a slot free as far as this host knows. */
  readonly candidates: readonly BackendRow[]
  /** The object that the request concerns; null when any server is as good for it. */
  readonly affinity: string | null
  /** Time that a request of this kind takes at a server that is not busy. */
  readonly workMs: Millis
  /** Time to a region and back. */
  readonly roundTrip: (region: RegionId) => Millis
}

/** A way to choose among backend servers. */
export interface BackendChoice {
  readonly name: string
  choose (input: ChoiceInput): BackendRow | undefined
}

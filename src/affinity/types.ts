/** Types for cache affinity: objects that requests concern, and the backend servers that are likely to have them cached. */

import type { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'

/** Objects of the requests that this host has recently sent to a backend server. */
export interface RecentObjectsRow {
  /** Key and epoch of a backend server, so that a restart begins a new row. */
  readonly key: string
  /** When each object was last seen, oldest first. */
  readonly objects: Map<string, Millis>
  /** When any object was last seen. */
  seenAt: Millis
}

/** Whether each zone or the region as a whole has one home for an object. */
export type HomeScope = 'zone' | 'region'

/** This host's requests for the objects of a route. */
export interface ObjectDemandRow {
  readonly route: string
  /** When each object was last requested, oldest first. */
  readonly seenAt: Map<string, Millis>
  /** Requests, and requests for an object that was requested before, as decaying sums. */
  requests: number
  repeats: number
  updatedAt: Millis
  scope: HomeScope
  decidedAt: Millis
}

/** Tables of recent objects and of the demand for objects. */
export interface AffinityTables {
  readonly recentObjects: RowTable<string, RecentObjectsRow>
  readonly objectDemand: RowTable<string, ObjectDemandRow>
}

/** How likely a backend server has an object cached: `known` if this host has recently sent it there, `home` if the server is its home, `spare` if it stands in for the home, else `none`. */
export type ObjectAffinity = 'known' | 'home' | 'spare' | 'none'

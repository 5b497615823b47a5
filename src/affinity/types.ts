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

/** Tables of recent objects. */
export interface AffinityTables { readonly recentObjects: RowTable<string, RecentObjectsRow> }

/** How likely a backend server has an object cached: `known` if this host has recently sent it there, `home` if the server is a preferred one, else `none`. */
export type ObjectAffinity = 'known' | 'home' | 'none'

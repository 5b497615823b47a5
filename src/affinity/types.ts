/** Objects that requests concern, and the backend servers that are likely to know them. */

import type { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'

/** Objects that this host has sent to a backend server lately. */
export interface RecentObjectsRow {
  /** One life of a backend server. */
  readonly key: string
  /** When each object was last seen, the one seen longest ago first. */
  readonly objects: Map<string, Millis>
  /** When the latest of them was seen. */
  seenAt: Millis
}

/** Tables of objects. */
export interface AffinityTables { readonly recentObjects: RowTable<string, RecentObjectsRow> }

/** How likely a backend server is to know an object: this host has sent it there lately, hosts prefer it, or neither. */
export type ObjectAffinity = 'known' | 'home' | 'none'

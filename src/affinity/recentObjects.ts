/** Tracks which objects were recently sent to each backend server, limited in number and age. */

import { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'
import { createObjectDemand } from './homeScope.js'
import type { AffinityTables, RecentObjectsRow } from './types.js'

/** Number of objects that a backend server is assumed to have cached. */
export const MAX_OBJECTS_PER_SERVER = 40
/** Time after which an object without requests is no longer considered cached. */
export const OBJECT_TTL_MS: Millis = 15_000

/** Returns empty tables of recent objects. */
export const createAffinityTables = (): AffinityTables => ({ recentObjects: new RowTable<string, RecentObjectsRow>(row => row.key), objectDemand: createObjectDemand() })

const evictOldest = ({ objects }: RecentObjectsRow, limit: number, now: Millis): void => {
  for (const [oldest, seenAt] of objects) {
    if (objects.size <= limit && now - seenAt < OBJECT_TTL_MS) return
    objects.delete(oldest)
  }
}

// Servers are replaced under new names, so rows of servers without recent requests are dropped when a new row is added.
const dropIdleServers = (tables: AffinityTables, now: Millis): void => {
  for (const row of [...tables.recentObjects.rows()]) {
    if (now - row.seenAt >= OBJECT_TTL_MS) tables.recentObjects.remove(row.key)
  }
}

/** Records an object as seen, and evicts the oldest objects above the limit. */
export const recordObject = (tables: AffinityTables, key: string, object: string, limit: number, now: Millis): void => {
  let row = tables.recentObjects.get(key)
  if (row === undefined) {
    dropIdleServers(tables, now)
    row = { key, objects: new Map(), seenAt: now }
    tables.recentObjects.put(row)
  }
  row.seenAt = now
  row.objects.delete(object)
  row.objects.set(object, now)
  evictOldest(row, limit, now)
}

/** Returns whether an object was seen within the retention period. */
export const hasRecentObject = (tables: AffinityTables, key: string, object: string, now: Millis): boolean => {
  const seenAt = tables.recentObjects.get(key)?.objects.get(object)
  return seenAt !== undefined && now - seenAt < OBJECT_TTL_MS
}

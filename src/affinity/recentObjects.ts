/** Remembers which objects were seen lately, within bounds of number and time. */

import { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'
import type { AffinityTables, RecentObjectsRow } from './types.js'

/** Objects that a backend server is taken to remember. */
export const MAX_OBJECTS_PER_SERVER = 40
/** An object that nobody asked for in this time no longer counts. */
export const OBJECT_TTL_MS: Millis = 15_000

/** An empty table of objects. */
export const createAffinityTables = (): AffinityTables => ({ recentObjects: new RowTable<string, RecentObjectsRow>(row => row.key) })

const evictOldest = ({ objects }: RecentObjectsRow, most: number, now: Millis): void => {
  for (const [oldest, seenAt] of objects) {
    if (objects.size <= most && now - seenAt < OBJECT_TTL_MS) return
    objects.delete(oldest)
  }
}

// Servers come and go under new names; what nobody sends to any more is dropped when another one is met.
const dropIdleServers = (tables: AffinityTables, now: Millis): void => {
  for (const row of [...tables.recentObjects.rows()]) {
    if (now - row.seenAt >= OBJECT_TTL_MS) tables.recentObjects.remove(row.key)
  }
}

/** Notes that an object was seen; of more than the most, those seen longest ago are forgotten. */
export const recordObject = (tables: AffinityTables, key: string, object: string, most: number, now: Millis): void => {
  let row = tables.recentObjects.get(key)
  if (row === undefined) {
    dropIdleServers(tables, now)
    row = { key, objects: new Map(), seenAt: now }
    tables.recentObjects.put(row)
  }
  row.seenAt = now
  row.objects.delete(object)
  row.objects.set(object, now)
  evictOldest(row, most, now)
}

/** Whether an object was seen lately. */
export const hasRecentObject = (tables: AffinityTables, key: string, object: string, now: Millis): boolean => {
  const seenAt = tables.recentObjects.get(key)?.objects.get(object)
  return seenAt !== undefined && now - seenAt < OBJECT_TTL_MS
}

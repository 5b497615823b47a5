/** Estimates how likely a backend server has the object of a request cached. */

import type { BackendRow } from '../announcement/types.js'
import type { ExchangeRow } from '../exchange/types.js'
import type { MembershipTables } from '../membership/types.js'
import type { Millis } from '../core/tick.js'
import { findPreferredServers } from './objectHomes.js'
import { MAX_OBJECTS_PER_SERVER, hasRecentObject, recordObject } from './recentObjects.js'
import type { AffinityTables, ObjectAffinity } from './types.js'

type ObjectAffinityTables = AffinityTables & Pick<MembershipTables, 'gossip'>

// The epoch is part of the key, because a restarted server has an empty cache.
const processKey = ({ key, announcement }: BackendRow): string => `${key}#${announcement.epoch}`

const objectKey = ({ route, affinity }: Pick<ExchangeRow, 'route' | 'affinity'>): string | null =>
  affinity === null ? null : `${route ?? ''}/${affinity}`

/** Returns a function that rates servers for one request. `findServers` gives the servers that objects are distributed over. */
export const createAffinityEstimator = (tables: ObjectAffinityTables, exchange: ExchangeRow, findServers: () => readonly BackendRow[], now: Millis): (row: BackendRow) => ObjectAffinity => {
  const object = objectKey(exchange)
  if (object === null) return () => 'none'
  const preferred = findPreferredServers(findServers(), tables.gossip.self, object)
  return row => {
    if (hasRecentObject(tables, processKey(row), object, now)) return 'known'
    return row === preferred.first || row === preferred.second || row === preferred.remote ? 'home' : 'none'
  }
}

/** Records that a request is sent to a server, which then has its object cached. */
export const recordObjectSent = (tables: AffinityTables, exchange: ExchangeRow, backend: BackendRow, now: Millis): void => {
  const object = objectKey(exchange)
  if (object !== null) recordObject(tables, processKey(backend), object, MAX_OBJECTS_PER_SERVER, now)
}

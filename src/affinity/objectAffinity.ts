/** Judges how likely a backend server is to know the object of a request. */

import type { BackendRow } from '../announcement/types.js'
import type { ExchangeRow } from '../exchange/types.js'
import type { MembershipTables } from '../membership/types.js'
import type { Millis } from '../core/tick.js'
import { findPreferredServers } from './preferredServers.js'
import { MAX_OBJECTS_PER_SERVER, hasRecentObject, recordObject } from './recentObjects.js'
import type { AffinityTables, ObjectAffinity } from './types.js'

type ObjectAffinityTables = AffinityTables & Pick<MembershipTables, 'gossip'>

// A server that starts anew remembers nothing.
const processKey = ({ key, announcement }: BackendRow): string => `${key}#${announcement.epoch}`

const objectKey = ({ route, affinity }: Pick<ExchangeRow, 'route' | 'affinity'>): string | null =>
  affinity === null ? null : `${route ?? ''}/${affinity}`

/** Judges servers for one request; its homes are found among the live servers of its service. */
export const createAffinityEstimator = (tables: ObjectAffinityTables, exchange: ExchangeRow, findServers: () => readonly BackendRow[], now: Millis): (row: BackendRow) => ObjectAffinity => {
  const object = objectKey(exchange)
  if (object === null) return () => 'none'
  const homes = findPreferredServers(findServers(), tables.gossip.self, object)
  return row => {
    if (hasRecentObject(tables, processKey(row), object, now)) return 'known'
    return row === homes.first || row === homes.second || row === homes.remote ? 'home' : 'none'
  }
}

/** Notes that a request goes to a server, which will know its object from then on. */
export const recordObjectSent = (tables: AffinityTables, exchange: ExchangeRow, backend: BackendRow, now: Millis): void => {
  const object = objectKey(exchange)
  if (object !== null) recordObject(tables, processKey(backend), object, MAX_OBJECTS_PER_SERVER, now)
}

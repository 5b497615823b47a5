/** Judges how likely a backend server is to know the object of a request. */

import type { BackendRow } from '../announcement/types.js'
import type { ExchangeRow } from '../exchange/types.js'
import type { MembershipTables } from '../membership/types.js'
import type { Millis } from '../core/tick.js'
import { findHomes } from './objectHomes.js'
import { SERVER_MEMORY, hasObject, noteObject } from './recentObjects.js'
import type { AffinityTables, Warmth } from './types.js'

type WarmthTables = AffinityTables & Pick<MembershipTables, 'gossip'>

// A server that starts anew remembers nothing.
const lifeOf = ({ key, announcement }: BackendRow): string => `${key}#${announcement.epoch}`

const objectOf = ({ route, affinity }: Pick<ExchangeRow, 'route' | 'affinity'>): string | null =>
  affinity === null ? null : `${route ?? ''}/${affinity}`

/** Judges servers for one request; its homes are found among the live servers of its service. */
export const warmthOf = (tables: WarmthTables, exchange: ExchangeRow, findServers: () => readonly BackendRow[], now: Millis): (row: BackendRow) => Warmth => {
  const object = objectOf(exchange)
  if (object === null) return () => 'none'
  const homes = findHomes(findServers(), tables.gossip.self, object)
  return row => {
    if (hasObject(tables, lifeOf(row), object, now)) return 'known'
    return row === homes.first || row === homes.second || row === homes.far ? 'home' : 'none'
  }
}

/** Notes that a request goes to a server, which will know its object from then on. */
export const noteSent = (tables: AffinityTables, exchange: ExchangeRow, backend: BackendRow, now: Millis): void => {
  const object = objectOf(exchange)
  if (object !== null) noteObject(tables, lifeOf(backend), object, SERVER_MEMORY, now)
}

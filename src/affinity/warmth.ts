/** Estimates how likely a backend server has the object of a request cached. */

import type { AnnouncementTables, BackendRow } from '../announcement/types.js'
import type { ExchangeRow } from '../exchange/types.js'
import type { MembershipTables } from '../membership/types.js'
import type { Millis } from '../core/tick.js'
import type { ShiftTables } from '../shift/types.js'
import { countObjectRequest } from './homeScope.js'
import { findPreferredServers, findRegionalServers } from './objectHomes.js'
import { MAX_OBJECTS_PER_SERVER, hasRecentObject, recordObject } from './recentObjects.js'
import type { AffinityTables, ObjectAffinity } from './types.js'

type ObjectAffinityTables = AffinityTables & AnnouncementTables & Pick<ShiftTables, 'overflow'> & Pick<MembershipTables, 'gossip'>

const objectKey = ({ route, affinity }: Pick<ExchangeRow, 'route' | 'affinity'>): string | null =>
  affinity === null ? null : `${route ?? ''}/${affinity}`

/** Rates servers for one request by how likely they have its object cached. */
export interface AffinityRating {
  readonly rate: (row: BackendRow) => ObjectAffinity
  /** Whether the object has its home in another region, because this one has too few servers for all. */
  readonly isHomeAway: boolean
}

const rateByKnowledge = (tables: ObjectAffinityTables, object: string, now: Millis, rateUnknown: (row: BackendRow) => ObjectAffinity) => (row: BackendRow): ObjectAffinity =>
  hasRecentObject(tables, row.processKey, object, now) ? 'known' : rateUnknown(row)

/** Returns the rating of servers for a request. `findServers` gives the servers that objects are distributed over. */
export const rateAffinity = (tables: ObjectAffinityTables, exchange: ExchangeRow, findServers: () => readonly BackendRow[], now: Millis): AffinityRating => {
  const object = objectKey(exchange)
  if (object === null) return { rate: () => 'none', isHomeAway: false }
  const { self } = tables.gossip
  if (exchange.homeScope === 'zone') {
    const { first, second, remote } = findPreferredServers(findServers(), self, object)
    return { rate: rateByKnowledge(tables, object, now, row => row === first || row === second || row === remote ? 'home' : 'none'), isHomeAway: false }
  }
  const { first, second, remote, isAway } = findRegionalServers(findServers(), self, object, tables.overflow.fraction(tables, exchange.service, self.region))
  const rateUnknown = (row: BackendRow): ObjectAffinity => row === first ? 'home' : row === second || row === remote ? 'spare' : 'none'
  return { rate: rateByKnowledge(tables, object, now, rateUnknown), isHomeAway: isAway }
}

/** Records that a request is sent to a server, which then has its object cached. */
export const recordObjectSent = (tables: AffinityTables, exchange: ExchangeRow, backend: BackendRow, now: Millis): void => {
  const object = objectKey(exchange)
  if (object === null) return
  recordObject(tables, backend.processKey, object, MAX_OBJECTS_PER_SERVER, now)
  if (exchange.attemptsStarted <= 1) countObjectRequest(tables, exchange.route ?? '', object, now)
}

/** Measures how many of a service's requests are more urgent than others, which then leave room for them at the servers. */

import type { ServiceId } from '../core/id.js'
import { remainingFraction } from '../core/decay.js'
import { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'
import type { ExchangeTables, RankDemandRow } from './types.js'

type RankDemandTables = Pick<ExchangeTables, 'rankDemand'>

/** Time constant over which requests are counted. */
const DEMAND_TIME_CONSTANT_MS: Millis = 10_000

/** Creates an empty table of demand by rank. */
export const createRankDemand = (): RankDemandTables['rankDemand'] => new RowTable<ServiceId, RankDemandRow>(row => row.service)

/** Counts a request of a rank. */
export const countRank = (tables: RankDemandTables, service: ServiceId, rank: number, now: Millis): void => {
  let row = tables.rankDemand.get(service)
  if (row === undefined) {
    row = { service, requests: new Map(), updatedAt: now }
    tables.rankDemand.put(row)
  }
  const remaining = remainingFraction(now - row.updatedAt, DEMAND_TIME_CONSTANT_MS)
  for (const [counted, requests] of row.requests) row.requests.set(counted, requests * remaining)
  row.requests.set(rank, (row.requests.get(rank) ?? 0) + 1)
  row.updatedAt = now
}

/** Returns the fraction, 0 to 1, of the service's recent requests that are more urgent than the given rank. */
export const urgentFraction = (tables: RankDemandTables, service: ServiceId, rank: number): number => {
  let total = 0
  let urgent = 0
  for (const [counted, requests] of tables.rankDemand.get(service)?.requests ?? []) {
    total += requests
    if (counted < rank) urgent += requests
  }
  return total === 0 ? 0 : urgent / total
}

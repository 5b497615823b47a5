/** Measures for each rank of a service whether its requests come faster than servers take them, and how many of them are served. */

import { remainingFraction } from '../core/decay.js'
import type { ServiceId } from '../core/id.js'
import { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'
import type { CongestionRow, ExchangeTables, RankLoad } from './types.js'

type CongestionTables = Pick<ExchangeTables, 'congestion'>

/** Number of requests that the measurement of congestion averages over, about. */
const AVERAGED_REQUESTS = 32
/** Fraction of requests that find one waiting before them when they come as fast as the place before them becomes free. */
const FRACTION_AT_CAPACITY = 0.5
/** Time constant over which joined and started requests are counted. */
const COUNT_TIME_CONSTANT_MS: Millis = 10_000
/** The fraction of a rank's requests that is served is at least this part of that of all ranks, however many more urgent ones there are. */
const GUARANTEED_SERVICE = 0.5

/** Creates an empty table of congestion. */
export const createCongestion = (): CongestionTables['congestion'] => new RowTable<ServiceId, CongestionRow>(row => row.service)

// After a time in which the servers could have worked off as many requests as it averages over, the measurement says nothing any more.
const hindered = ({ fraction, joinedAt }: RankLoad, workMs: Millis, now: Millis): number =>
  now - joinedAt > workMs * AVERAGED_REQUESTS ? 0 : fraction

/** Returns whether requests of a rank come faster than places become free, so that a queue of them would never empty. `workMs` is the mean work time of the service's requests. */
export const isCongested = (tables: CongestionTables, service: ServiceId, rank: number, workMs: Millis, now: Millis): boolean => {
  const load = tables.congestion.get(service)?.ranks.get(rank)
  return load !== undefined && hindered(load, workMs, now) > FRACTION_AT_CAPACITY
}

const findLoad = (tables: CongestionTables, service: ServiceId, rank: number, now: Millis): RankLoad => {
  let row = tables.congestion.get(service)
  if (row === undefined) {
    row = { service, ranks: new Map() }
    tables.congestion.put(row)
  }
  let load = row.ranks.get(rank)
  if (load === undefined) {
    load = { fraction: 0, joinedAt: now, joined: 0, started: 0, countedAt: now }
    row.ranks.set(rank, load)
  }
  const remaining = remainingFraction(now - load.countedAt, COUNT_TIME_CONSTANT_MS)
  load.joined *= remaining
  load.started *= remaining
  load.countedAt = now
  return load
}

/** Counts a request that joins the queue. `foundOthers` tells whether requests of its rank, or more urgent ones, were waiting already. */
export const countJoin = (tables: CongestionTables, service: ServiceId, rank: number, foundOthers: boolean, workMs: Millis, now: Millis): void => {
  const load = findLoad(tables, service, rank, now)
  const fraction = hindered(load, workMs, now)
  load.fraction = fraction + ((foundOthers ? 1 : 0) - fraction) / AVERAGED_REQUESTS
  load.joinedAt = now
  load.joined += 1
}

/** Counts a request that starts. */
export const countStart = (tables: CongestionTables, service: ServiceId, rank: number, now: Millis): void => {
  findLoad(tables, service, rank, now).started += 1
}

/** Returns whether too few requests of a rank are served, compared with all ranks of the service. */
export const isUnderserved = (tables: CongestionTables, service: ServiceId, rank: number, now: Millis): boolean => {
  const ranks = tables.congestion.get(service)?.ranks
  if (ranks === undefined || ranks.size < 2) return false
  const { joined, started } = findLoad(tables, service, rank, now)
  let allJoined = 0
  let allStarted = 0
  for (const other of ranks.keys()) {
    const load = findLoad(tables, service, other, now)
    allJoined += load.joined
    allStarted += load.started
  }
  return started * allJoined < GUARANTEED_SERVICE * allStarted * joined
}

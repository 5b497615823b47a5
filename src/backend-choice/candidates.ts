/** Which backend servers may get new work, as far as this host knows. */

import type { RegionId, ServiceId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { AnnouncementTables, BackendRow } from '../announcement/types.js'
import { drainKey, retirementKey } from '../configuration/configurationTables.js'
import { isCold, mayWarm } from '../warmup/coldGate.js'
import type { ColdTables } from '../warmup/coldGate.js'

/** A new server reaches its full slots after this time. */
export const COLD_START: Millis = 5_000
const SMALLEST_WARM_PART = 0.25
/** Part of a server's slots, queue included, that requests of the first rank may fill; they wait there rather than here. */
const FIRST_RANK_FILL = 2
/** The same for requests of later ranks, which leave the rest to more urgent ones. */
const LATER_RANK_FILL = 1.1

/** Tables that candidates come from. */
export type CandidateTables = AnnouncementTables & ColdTables

/** Why a server gets no new work now. */
export type Obstacle = 'draining' | 'gone' | 'evacuated' | 'ejected' | 'silent' | 'shedding' | 'reserved' | 'cold' | 'full'

/** What candidates are sought for. */
export interface CandidateQuery {
  readonly service: ServiceId
  readonly excluded: ReadonlySet<string>
  /** Whether nothing more urgent competes for the service. */
  readonly isFirstRank: boolean
  /** Regions that may serve; empty allows all. */
  readonly allowedRegions: readonly RegionId[]
}

// A server that is new to this host gets a growing part of its slots, at least one.
const usableSlots = (row: BackendRow, now: Millis): number => {
  const warmth = Math.min(1, Math.max(SMALLEST_WARM_PART, (now - row.firstSeenAt) / COLD_START))
  return Math.max(1, Math.floor(row.announcement.slots * warmth))
}

/** What answers said of the load loses its meaning over this time. */
const LOAD_MEMORY: Millis = 3_000

/** Requests that are likely to be at a server, its queue included. */
export const busyAt = (row: BackendRow, now: Millis): number =>
  row.inFlight + row.otherHostsLoad * Math.exp((row.loadReportedAt - now) / LOAD_MEMORY)

const isFull = (row: BackendRow, now: Millis, isFirstRank: boolean): boolean => {
  // A server that tells its load may queue a little; of one that does not, only the slots are sure.
  if (row.loadReportedAt === 0) return row.inFlight >= usableSlots(row, now)
  return busyAt(row, now) >= row.announcement.slots * (isFirstRank ? FIRST_RANK_FILL : LATER_RANK_FILL)
}

/** Why a server is not to be used whatever its load; null when it is in service. */
export const findOutOfServiceReason = (tables: CandidateTables, row: BackendRow): 'draining' | 'gone' | 'evacuated' | null => {
  const { announcement } = row
  if (announcement.state !== 'up') return announcement.state
  const { drains, retirements, evacuations } = tables.configuration
  if (drains.size > 0 && drains.has(drainKey(announcement))) return 'draining'
  if (retirements.size > 0 && retirements.has(retirementKey(announcement))) return 'draining'
  return evacuations.has(announcement.zone) ? 'evacuated' : null
}

/** A server that answers nothing for this long while requests run there gets no new ones. */
export const SILENCE_LIMIT: Millis = 1_000

/** Whether requests run at a server that has answered nothing for a while. */
export const isSilent = (row: BackendRow, now: Millis, limit = SILENCE_LIMIT): boolean =>
  row.loadReportedAt > 0 && row.unansweredSince !== null && now - row.unansweredSince >= limit

/** Why a server gets no new work now; null when it may. */
export const findObstacle = (tables: CandidateTables, row: BackendRow, now: Millis, isFirstRank = true): Obstacle | null => {
  const outage = findOutOfServiceReason(tables, row)
  if (outage !== null) return outage
  if (row.ejectedUntil > now) return 'ejected'
  if (isSilent(row, now)) return 'silent'
  if (row.shedUntil > now) return 'shedding'
  if (row.reservedFor !== null) return 'reserved'
  if (isFull(row, now, isFirstRank)) return 'full'
  return isCold(row, now) && !mayWarm(tables, row, now) ? 'cold' : null
}

const isAllowed = (allowedRegions: readonly RegionId[], { announcement }: BackendRow): boolean =>
  allowedRegions.length === 0 || allowedRegions.includes(announcement.region)

/** Servers of a service that may get new work and are not excluded. */
export const findCandidates = (tables: CandidateTables, query: CandidateQuery, now: Millis): BackendRow[] => {
  const candidates: BackendRow[] = []
  for (const row of tables.backends.group(query.service)) {
    if (query.excluded.has(row.key) || !isAllowed(query.allowedRegions, row)) continue
    if (findObstacle(tables, row, now, query.isFirstRank) === null) candidates.push(row)
  }
  return candidates
}

/** Servers that objects may have their homes on: those in full service, busy or not; any that are up where there are none. */
export const findHomeServers = (tables: CandidateTables, { service, allowedRegions }: Pick<CandidateQuery, 'service' | 'allowedRegions'>, now: Millis): BackendRow[] => {
  const up: BackendRow[] = []
  const sound: BackendRow[] = []
  for (const row of tables.backends.group(service)) {
    if (findOutOfServiceReason(tables, row) !== null || !isAllowed(allowedRegions, row)) continue
    up.push(row)
    if (row.ejectedUntil <= now && !isSilent(row, now) && !isCold(row, now)) sound.push(row)
  }
  return sound.length > 0 ? sound : up
}

/** Whether any server of the service is up, busy or not; in one region, or anywhere. */
export const hasLiveServer = (tables: CandidateTables, service: ServiceId, region: RegionId | null): boolean => {
  for (const row of tables.backends.group(service)) {
    if (findOutOfServiceReason(tables, row) !== null) continue
    if (region === null || row.announcement.region === region) return true
  }
  return false
}

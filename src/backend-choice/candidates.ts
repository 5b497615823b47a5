/** Selects the backend servers that may get new requests, from what this host knows about them. */

import type { RegionId, ServiceId } from '../core/id.js'
import { remainingFraction } from '../core/decay.js'
import type { Millis } from '../core/tick.js'
import type { AnnouncementTables, BackendRow } from '../announcement/types.js'
import { drainKey, isRetired } from '../configuration/configurationTables.js'
import { isCold, maySendToCold } from '../warmup/warmupLimit.js'
import type { WarmupLimitTables } from '../warmup/warmupLimit.js'

/** Slow start: a server that is new to this host gets its full number of slots after this time. */
export const SLOW_START_MS: Millis = 5_000
const MIN_SLOW_START_FRACTION = 0.25
/** Places in a server's queue, for each of its slots, that requests of a burst may take. They are worked off in the time of one request. */
const QUEUE_PLACES_PER_SLOT = 1
/** Places that keep a freed slot busy until the next request arrives. */
const MIN_QUEUE_PLACES = 1

/** Tables that candidates are selected from. */
export type CandidateTables = AnnouncementTables & WarmupLimitTables

/** Why a server gets no new requests now. */
export type ExclusionReason = 'draining' | 'gone' | 'evacuated' | 'ejected' | 'silent' | 'paused' | 'shedding' | 'reserved' | 'cold' | 'full'

/** Criteria for the selection of candidates. */
export interface CandidateQuery {
  readonly service: ServiceId
  readonly excluded: ReadonlySet<string>
  /** Fraction, 0 to 1, of the service's requests that are more urgent. Room is left for them. */
  readonly urgentFraction: number
  /** Whether requests come faster than servers take them. Those that queue at servers would then only delay each other. */
  readonly isCongested: boolean
  /** Mean work time of the service's requests. */
  readonly workMs: Millis
  /** Regions that may serve; empty allows all. */
  readonly allowedRegions: readonly RegionId[]
}

// Returns the slots that a server has during slow start: a growing fraction, at least one.
const usableSlots = (row: BackendRow, now: Millis): number => {
  const fraction = Math.min(1, Math.max(MIN_SLOW_START_FRACTION, (now - row.firstSeenAt) / SLOW_START_MS))
  return Math.max(1, Math.floor(row.announcement.slots * fraction))
}

/** Time constant with which the usual load of other hosts decays without new reports. */
const USUAL_LOAD_TIME_CONSTANT_MS: Millis = 3_000
/** Shortest time within which the load of a server returns to the usual one. */
const MIN_LOAD_TIME_CONSTANT_MS: Millis = 100

/** Estimates the outstanding requests of all hosts at a server, its queue included. A report says little about the load after its requests have been answered. */
export const estimateOutstanding = (row: BackendRow, now: Millis): number => {
  if (row.loadReportedAt === 0) return row.inFlight
  const ageMs = now - row.loadReportedAt
  const unusualLoad = (row.otherHostsLoad - row.usualOthersLoad) * remainingFraction(ageMs, Math.max(MIN_LOAD_TIME_CONSTANT_MS, row.answerMs))
  return row.inFlight + (row.usualOthersLoad + unusualLoad) * remainingFraction(ageMs, USUAL_LOAD_TIME_CONSTANT_MS)
}

/** Competition for the servers of a service, from `CandidateQuery`. */
type Competition = Pick<CandidateQuery, 'urgentFraction' | 'isCongested' | 'workMs'>

const NO_COMPETITION: Competition = { urgentFraction: 0, isCongested: false, workMs: 0 }

const queuePlaces = (slots: number, { urgentFraction, isCongested }: Competition): number =>
  isCongested ? MIN_QUEUE_PLACES : Math.max(MIN_QUEUE_PLACES, slots * QUEUE_PLACES_PER_SLOT * (1 - urgentFraction))

/** Time after a pause within which a server gets its full load again. */
const RESUME_MS: Millis = 2_000
const MIN_RESUME_FRACTION = 0.25

// Fraction of its usual limit that a server gets after a pause, as other hosts return to it at about the same time.
const resumeFraction = (row: BackendRow, now: Millis): number =>
  row.pausedUntil === 0 ? 1 : Math.min(1, Math.max(MIN_RESUME_FRACTION, (now - row.pausedUntil) / RESUME_MS))

const isFull = (row: BackendRow, now: Millis, competition: Competition): boolean => {
  const { slots } = row.announcement
  // A server that reports its load may queue some requests. Any other server gets no more than its usable slots.
  const limit = row.loadReportedAt === 0 ? usableSlots(row, now) : slots + queuePlaces(slots, competition)
  return estimateOutstanding(row, now) >= Math.max(1, limit * resumeFraction(row, now))
}

/** Returns why a server is out of service, regardless of its load; null if it is in service. */
export const findOutOfServiceReason = (tables: CandidateTables, row: BackendRow): 'draining' | 'gone' | 'evacuated' | null => {
  const { announcement } = row
  if (announcement.state !== 'up') return announcement.state
  const { drains, evacuations } = tables.configuration
  if (drains.size > 0 && drains.has(drainKey(announcement))) return 'draining'
  if (isRetired(tables.configuration, announcement)) return 'draining'
  return evacuations.has(announcement.zone) ? 'evacuated' : null
}

/** Minimum time without any answer after which a server with running requests gets no new ones. */
export const MIN_SILENCE_TIMEOUT_MS: Millis = 1_000
/** The same time as a multiple of the mean work time: a server that answers slowly is not silent. */
const SILENCE_WORK_FACTOR = 4

/** Returns whether requests run at a server that has not answered for long. Servers that report no load are never silent. */
export const isSilent = (row: BackendRow, now: Millis, workMs: Millis): boolean =>
  row.loadReportedAt > 0 && row.unansweredSince !== null && now - row.unansweredSince >= Math.max(MIN_SILENCE_TIMEOUT_MS, SILENCE_WORK_FACTOR * workMs)

/** Returns why a server gets no new requests now; null if it may get them. */
export const findExclusionReason = (tables: CandidateTables, row: BackendRow, now: Millis, competition = NO_COMPETITION): ExclusionReason | null => {
  const outage = findOutOfServiceReason(tables, row)
  if (outage !== null) return outage
  if (row.ejectedUntil > now) return 'ejected'
  if (isSilent(row, now, competition.workMs)) return 'silent'
  if (row.pausedUntil > now) return 'paused'
  if (row.shedUntil > now) return 'shedding'
  if (row.reservedFor !== null) return 'reserved'
  if (isFull(row, now, competition)) return 'full'
  return isCold(row, now) && !maySendToCold(tables, row, now) ? 'cold' : null
}

const isAllowed = (allowedRegions: readonly RegionId[], { announcement }: BackendRow): boolean =>
  allowedRegions.length === 0 || allowedRegions.includes(announcement.region)

/** Returns the servers of a service that may get new requests and are not excluded. */
export const findCandidates = (tables: CandidateTables, query: CandidateQuery, now: Millis): BackendRow[] => {
  const candidates: BackendRow[] = []
  for (const row of tables.backends.group(query.service)) {
    if (query.excluded.has(row.key) || !isAllowed(query.allowedRegions, row)) continue
    if (findExclusionReason(tables, row, now, query) === null) candidates.push(row)
  }
  return candidates
}

/** Returns the servers that objects are distributed over: the healthy ones, busy or not. Without a healthy one, all that are in service. */
export const findAffinityServers = (tables: CandidateTables, { service, allowedRegions, workMs }: Pick<CandidateQuery, 'service' | 'allowedRegions' | 'workMs'>, now: Millis): BackendRow[] => {
  const inService: BackendRow[] = []
  const healthy: BackendRow[] = []
  for (const row of tables.backends.group(service)) {
    if (findOutOfServiceReason(tables, row) !== null || !isAllowed(allowedRegions, row)) continue
    inService.push(row)
    if (row.ejectedUntil <= now && row.pausedUntil <= now && !isSilent(row, now, workMs) && !isCold(row, now)) healthy.push(row)
  }
  return healthy.length > 0 ? healthy : inService
}

/** Returns whether the service has any server in service, busy or not, in one region, or in any region if that is null. */
export const hasLiveServer = (tables: CandidateTables, service: ServiceId, region: RegionId | null): boolean => {
  for (const row of tables.backends.group(service)) {
    if (findOutOfServiceReason(tables, row) !== null) continue
    if (region === null || row.announcement.region === region) return true
  }
  return false
}

/** Returns whether a server is in service for a request, available now or not. */
export const mayUse = (tables: CandidateTables, { excluded, allowedRegions }: Pick<CandidateQuery, 'excluded' | 'allowedRegions'>, row: BackendRow): boolean =>
  !excluded.has(row.key) && isAllowed(allowedRegions, row) && findOutOfServiceReason(tables, row) === null

/** Returns when a server's pause, ejection and backoff are over. */
export const findAvailableFrom = ({ pausedUntil, ejectedUntil, shedUntil }: BackendRow): Millis => Math.max(pausedUntil, ejectedUntil, shedUntil)

/** Returns when the first server of a service ends its pause, if all that may serve are paused; null otherwise. */
export const findPauseEnd = (tables: CandidateTables, query: Pick<CandidateQuery, 'service' | 'excluded' | 'allowedRegions'>, now: Millis): Millis | null => {
  let earliest: Millis | null = null
  for (const row of tables.backends.group(query.service)) {
    if (!mayUse(tables, query, row)) continue
    if (row.pausedUntil <= now) return null
    earliest = Math.min(earliest ?? row.pausedUntil, row.pausedUntil)
  }
  return earliest
}

/** Fake backend servers of a virtual fleet. */

import type { Millis } from '../core/tick.js'
import type { Announcement, ReportedLoad } from '../announcement/types.js'
import type { AttemptResult, AttemptStarted } from '../exchange/types.js'
import type { VirtualNode } from './virtualFleet.js'

/** LRU cache of objects, the least recently used first. `warmFactor` scales the processing time of a cached object. */
export interface ObjectCache {
  readonly capacity: number
  readonly warmFactor: number
  readonly objects: Set<string>
  /** Requests for an object, and those that found it cached. */
  reads?: number
  hits?: number
}

/** A fake backend server. */
export interface VirtualServer {
  announcement: Announcement
  /** Processing time of a request, in milliseconds. */
  workMs: Millis
  isDown: boolean
  startedCount: number
  shedCount: number
  lastStartedAt: Millis
  /** Attempts in progress; a crash loses all of them. */
  readonly runningAttempts: Map<AttemptStarted['attempt'], { readonly node: VirtualNode, readonly row: AttemptStarted }>
  crashCount: number
  /** Maximum number of attempts that wait for a slot; 0 if absent. */
  queueCapacity?: number
  readonly queuedAttempts: Array<() => void>
  /** Whether answers report the server's load. */
  reportsLoad?: boolean
  /** Cache of objects that are processed faster; nothing is cached if absent. */
  cache?: ObjectCache
  /** Multiplier of the processing time; 1 if absent. */
  slowdownFactor?: number
  /** Whether its answers say that it leaves. */
  isLeaving?: boolean
  /** Time until which it turns requests away and asks for a pause until then. */
  pauseUntil?: Millis
  /** Returns a scripted result for an attempt, or null to process it normally. Scripted attempts ignore slots and queue. */
  scriptAttempt: ((row: AttemptStarted) => { afterMs: Millis, result: AttemptResult } | null) | null
}

/** Properties of a request that determine its processing time. */
export interface RequestWork {
  readonly affinity?: string
  /** Processing time when the object is not cached, in milliseconds; the server's `workMs` if absent. */
  readonly workMs?: Millis
}

/** Returns the processing time of a request, in milliseconds, and adds its object to the server's cache. */
export const processObject = (server: VirtualServer, request: RequestWork | undefined): Millis => {
  const { cache } = server
  const workMs = (request?.workMs ?? server.workMs) * (server.slowdownFactor ?? 1)
  const object = request?.affinity
  if (cache === undefined || object === undefined) return workMs
  const isCached = cache.objects.delete(object)
  cache.reads = (cache.reads ?? 0) + 1
  if (isCached) cache.hits = (cache.hits ?? 0) + 1
  cache.objects.add(object)
  if (cache.objects.size > cache.capacity) {
    const oldest = cache.objects.values().next().value
    if (oldest !== undefined) cache.objects.delete(oldest)
  }
  return isCached ? workMs * cache.warmFactor : workMs
}

/** Returns the load that the server reports in an answer, or null if it reports none. */
export const reportLoad = (server: VirtualServer): ReportedLoad | null =>
  server.reportsLoad === true ? { running: server.runningAttempts.size, waiting: server.queuedAttempts.length, slots: server.announcement.slots } : null

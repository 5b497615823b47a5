/** Stand-ins for backend servers in a virtual fleet. */

import type { Millis } from '../core/tick.js'
import type { Announcement, ReportedLoad } from '../announcement/types.js'
import type { AttemptResult, AttemptStarted } from '../exchange/types.js'
import type { VirtualNode } from './virtualFleet.js'

/** Objects that a server has handled lately, the one seen longest ago first. */
export interface ObjectCache { readonly capacity: number, readonly warmFactor: number, readonly objects: Set<string> }

/** A stand-in backend server: what it does with an attempt is a function. */
export interface VirtualServer {
  announcement: Announcement
  /** Time that a request takes, in milliseconds. */
  workMs: Millis
  isDown: boolean
  startedCount: number
  shedCount: number
  lastStartedAt: Millis
  /** Attempts that run now; a crash loses all of them. */
  readonly runningAttempts: Map<AttemptStarted['attempt'], { readonly node: VirtualNode, readonly row: AttemptStarted }>
  crashCount: number
  /** Requests that may wait for a slot; none when absent. */
  queueCapacity?: number
  readonly queuedAttempts: Array<() => void>
  /** Whether its answers tell its load. */
  reportsLoad?: boolean
  /** Objects that it handles faster while it remembers them; none when absent. */
  cache?: ObjectCache
  /** How many times longer than usual it takes; 1 when absent. */
  slowdownFactor?: number
  /** Replaces the ordinary course of an attempt. */
  scriptAttempt: ((row: AttemptStarted) => { afterMs: Millis, result: AttemptResult } | null) | null
}

/** What decides how long a request takes. */
export interface RequestWork {
  readonly affinity?: string
  /** Time that it takes where the server does not know its object, in milliseconds; the server's own when absent. */
  readonly workMs?: Millis
}

/** Time that a request takes at a server, which remembers its object from then on. */
export const processObject = (server: VirtualServer, request: RequestWork | undefined): Millis => {
  const { cache: memory } = server
  const workMs = (request?.workMs ?? server.workMs) * (server.slowdownFactor ?? 1)
  const object = request?.affinity
  if (memory === undefined || object === undefined) return workMs
  const isWarm = memory.objects.delete(object)
  memory.objects.add(object)
  if (memory.objects.size > memory.capacity) {
    const oldest = memory.objects.values().next().value
    if (oldest !== undefined) memory.objects.delete(oldest)
  }
  return isWarm ? workMs * memory.warmFactor : workMs
}

/** What a server's answers say of its load. */
export const reportLoad = (server: VirtualServer): ReportedLoad | null =>
  server.reportsLoad === true ? { running: server.runningAttempts.size, waiting: server.queuedAttempts.length, slots: server.announcement.slots } : null

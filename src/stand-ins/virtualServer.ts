/** Stand-ins for backend servers in a virtual fleet. */

import type { Millis } from '../core/tick.js'
import type { Announcement, ReportedLoad } from '../announcement/types.js'
import type { AttemptResult, AttemptStarted } from '../exchange/types.js'
import type { VirtualNode } from './virtualFleet.js'

/** Objects that a server has handled lately, the one seen longest ago first. */
export interface ObjectMemory { readonly most: number, readonly warmPart: number, readonly objects: Set<string> }

/** A stand-in backend server: what it does with an attempt is a function. */
export interface VirtualServer {
  announcement: Announcement
  /** Time that a request takes, in milliseconds. */
  workMs: Millis
  isDown: boolean
  started: number
  shed: number
  lastStartedAt: Millis
  /** Attempts that run now; a crash loses all of them. */
  readonly open: Map<AttemptStarted['attempt'], { readonly node: VirtualNode, readonly row: AttemptStarted }>
  crashes: number
  /** Requests that may wait for a slot; none when absent. */
  queue?: number
  readonly waiting: Array<() => void>
  /** Whether its answers tell its load. */
  tellsLoad?: boolean
  /** Objects that it handles faster while it remembers them; none when absent. */
  memory?: ObjectMemory
  /** How many times longer than usual it takes; 1 when absent. */
  slowness?: number
  /** Replaces the ordinary course of an attempt. */
  script: ((row: AttemptStarted) => { afterMs: Millis, result: AttemptResult } | null) | null
}

/** What decides how long a request takes. */
export interface VirtualWork {
  readonly affinity?: string
  /** Time that it takes where the server does not know its object, in milliseconds; the server's own when absent. */
  readonly workMs?: Millis
}

/** Time that a request takes at a server, which remembers its object from then on. */
export const workOn = (server: VirtualServer, request: VirtualWork | undefined): Millis => {
  const { memory } = server
  const workMs = (request?.workMs ?? server.workMs) * (server.slowness ?? 1)
  const object = request?.affinity
  if (memory === undefined || object === undefined) return workMs
  const isWarm = memory.objects.delete(object)
  memory.objects.add(object)
  if (memory.objects.size > memory.most) {
    const oldest = memory.objects.values().next().value
    if (oldest !== undefined) memory.objects.delete(oldest)
  }
  return isWarm ? workMs * memory.warmPart : workMs
}

/** What a server's answers say of its load. */
export const loadOf = (server: VirtualServer): ReportedLoad | null =>
  server.tellsLoad === true ? { running: server.open.size, waiting: server.waiting.length, slots: server.announcement.slots } : null

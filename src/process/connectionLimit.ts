/** Decides which connections of a listener must close, so that those without a request do not keep others out. */

import type { Millis } from '../core/tick.js'

/** From this age on, a connection without a request gives way to others. The request of a younger one may be in transit. */
export const MIN_SILENT_MS: Millis = 1_000
/** Age at which a connection without a request is closed. */
export const MAX_SILENT_MS: Millis = 5_000
/** Connections without a request that may become older than `MIN_SILENT_MS`. */
export const MAX_SILENT_CONNECTIONS = 256

/** The open connections of a listener. One is silent until the head of its first request is complete. */
export class ConnectionLimit<Connection> {
  readonly #open = new Set<Connection>()
  /** Silent connections with the times when they were opened, the oldest first. */
  readonly #silent = new Map<Connection, Millis>()

  constructor (readonly maxOpen: number) {}

  get hasSilent (): boolean { return this.#silent.size > 0 }

  /** Adds a new connection. Returns the one that must close to make room, which may be the new one; null if there is room. */
  add (connection: Connection, now: Millis): Connection | null {
    this.#open.add(connection)
    this.#silent.set(connection, now)
    if (this.#open.size <= this.maxOpen) return null
    const [oldest] = this.#silent
    const closing = oldest !== undefined && now - oldest[1] >= MIN_SILENT_MS ? oldest[0] : connection
    this.remove(closing)
    return closing
  }

  /** Records that a connection has sent a request. */
  markUsed (connection: Connection): void { this.#silent.delete(connection) }

  /** Removes a connection that is closed. */
  remove (connection: Connection): void {
    this.#open.delete(connection)
    this.#silent.delete(connection)
  }

  /** Removes and returns the connections that have been silent for too long, and the oldest ones of too many. */
  takeExpired (now: Millis): Connection[] {
    const expired: Connection[] = []
    for (const [connection, openedAt] of this.#silent) {
      const silentMs = now - openedAt
      if (silentMs < MIN_SILENT_MS) break
      if (silentMs < MAX_SILENT_MS && this.#silent.size <= MAX_SILENT_CONNECTIONS) break
      this.remove(connection)
      expired.push(connection)
    }
    return expired
  }
}

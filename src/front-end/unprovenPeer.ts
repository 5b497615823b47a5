/** Limits what the other end of a connection may send before it has proved its identity. */

import type { Duplex } from 'node:stream'

/** The connections of a listener whose other ends have not proved their identity. */
export class UnprovenPeers<Connection extends { terminate (): void }> {
  /** The oldest first: a peer with a key needs one round trip, so the oldest is the least likely to have one. */
  readonly #connections = new Set<Connection>()

  constructor (readonly maxCount: number) {}

  /** Adds a connection; closes the oldest one if there are too many. */
  add (connection: Connection): void {
    this.#connections.add(connection)
    if (this.#connections.size <= this.maxCount) return
    const [oldest] = this.#connections
    if (oldest === undefined) return
    this.remove(oldest)
    oldest.terminate()
  }

  /** Removes a connection that is closed, or whose other end has proved its identity. */
  remove (connection: Connection): void { this.#connections.delete(connection) }
}

/** Closes a connection that receives more than `limit` bytes, until the returned function lifts the limit. */
export const limitReceivedBytes = (connection: Duplex, limit: number, onExceeded: () => void): () => void => {
  let received = 0
  let isLifted = false
  const count = (chunk: Buffer): void => {
    if (isLifted) return
    received += chunk.length
    if (received <= limit) return
    connection.off('data', count)
    onExceeded()
  }
  connection.on('data', count)
  return () => {
    isLifted = true
    connection.off('data', count)
  }
}

/** Promise wrapper around `server.listen`, and addresses that are held without serving on them. */

import { createServer } from 'node:net'
import type { Server } from 'node:net'
import type { Address } from '../core/address.js'

/** Listens on an address and returns the bound port. Rejects if the address cannot be bound; the server can then listen again. */
export const listenOn = async (server: Server, listen: Address): Promise<number> => {
  await new Promise<void>((resolve, reject) => {
    const onListening = (): void => {
      server.off('error', onError)
      resolve()
    }
    const onError = (error: Error): void => {
      server.off('listening', onListening)
      reject(error)
    }
    server.once('listening', onListening)
    server.once('error', onError)
    server.listen(listen.port, listen.address)
  })
  const bound = server.address()
  return typeof bound === 'object' && bound !== null ? bound.port : listen.port
}

/** An address that can be taken without serving on it; connections to it are closed at once. */
export class HeldAddress {
  readonly #server = createServer(socket => { socket.destroy() })

  constructor () {
    // A connection that can't be accepted is none that anyone waits for.
    this.#server.on('error', () => {})
  }

  /** Takes an address. Rejects if it cannot be bound; it can then be tried again. */
  async take (address: Address): Promise<void> { await listenOn(this.#server, address) }

  /** Gives the address up. */
  async release (): Promise<void> {
    await new Promise(resolve => { this.#server.close(resolve) })
  }
}

/** Promise wrapper around `server.listen`. */

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

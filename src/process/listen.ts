/** Promise wrapper around `server.listen`. */

import type { Server } from 'node:net'
import type { Address } from '../core/address.js'

/** Listens on an address and returns the bound port. Rejects if the address cannot be bound. */
export const listenOn = async (server: Server, listen: Address): Promise<number> => {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(listen.port, listen.address, resolve)
  })
  const bound = server.address()
  return typeof bound === 'object' && bound !== null ? bound.port : listen.port
}

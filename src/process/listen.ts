/** Listening, as a promise. */

import type { Server } from 'node:net'
import type { Address } from '../core/address.js'

/** Listens and returns the port; rejects when the address cannot be had. */
export const listenOn = async (server: Server, listen: Address): Promise<number> => {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(listen.port, listen.address, resolve)
  })
  const bound = server.address()
  return typeof bound === 'object' && bound !== null ? bound.port : listen.port
}

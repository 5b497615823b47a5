/** Hosts that are named by their addresses, so that a seed can be spoken to before anybody has told of it. */

import { toId } from '../core/id.js'
import type { HostId } from '../core/id.js'
import type { Replica, ReplicaId } from '../replicated-log/types.js'
import type { Address } from '../core/address.js'
import type { Seed } from './types.js'

/** The seeds of a process, without itself; all hosts take links at the same port. */
export const seedsFromAddresses = (seeds: readonly Address[], self: Address): Seed[] =>
  seeds.filter(seed => seed.address !== self.address).map(seed => ({ host: toId<HostId>(seed.address), link: { address: seed.address, port: self.port } }))

/** The first group: the seeds of the first start found it; null for a host that is none of them and must join. */
export const foundersFromAddresses = (seeds: readonly Address[], self: Address): readonly Replica[] | null => {
  if (!seeds.some(seed => seed.address === self.address)) return null
  return seeds.map(seed => ({ replica: toId<ReplicaId>(`${seed.address}#0`), host: toId<HostId>(seed.address), link: { address: seed.address, port: self.port } }))
}

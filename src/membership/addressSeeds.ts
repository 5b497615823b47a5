/** Seeds whose host id is their address, so that they can be contacted before any member rumor about them has arrived. */

import { toId } from '../core/id.js'
import type { HostId } from '../core/id.js'
import type { Replica, ReplicaId } from '../replicated-log/types.js'
import type { Address } from '../core/address.js'
import type { Seed } from './types.js'

/** Returns the seeds of a process without the process itself; all hosts accept links on the same port. */
export const seedsFromAddresses = (seeds: readonly Address[], self: Address): Seed[] =>
  seeds.filter(seed => seed.address !== self.address).map(seed => ({ host: toId<HostId>(seed.address), link: { address: seed.address, port: self.port } }))

/** Returns the initial group, which consists of all seeds; null for a host that is not a seed and must join an existing group. */
export const foundersFromAddresses = (seeds: readonly Address[], self: Address): readonly Replica[] | null => {
  if (!seeds.some(seed => seed.address === self.address)) return null
  return seeds.map(seed => ({ replica: toId<ReplicaId>(`${seed.address}#0`), host: toId<HostId>(seed.address), link: { address: seed.address, port: self.port } }))
}

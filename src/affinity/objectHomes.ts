/** Selects the preferred backend servers of an object by rendezvous hashing, so that all hosts of a region select the same ones without coordination. */

import type { BackendRow } from '../announcement/types.js'
import { rendezvousHash, rendezvousWeight, weightOfHashes } from '../core/rendezvous.js'
import type { Member } from '../membership/types.js'

/** A zone with fewer servers distributes objects over the whole region, because one server cannot cache all of them. */
const MIN_ZONE_SERVERS = 2
/** In a region with fewer servers there is no second choice, because each server would then have to cache all objects. */
const MIN_REGION_SERVERS = 3

/** The server that an object is sent to first, and where that has no capacity, a second one in the region and one outside it. */
export interface PreferredServers {
  readonly first: BackendRow | undefined
  readonly second: BackendRow | undefined
  readonly remote: BackendRow | undefined
}

const NO_SERVERS: PreferredServers = { first: undefined, second: undefined, remote: undefined }

/** The two servers with the highest weights among those that were added. */
class TopRanked {
  count = 0
  first: BackendRow | undefined
  second: BackendRow | undefined
  #firstWeight = -1
  #secondWeight = -1

  add (row: BackendRow, weight: number): void {
    this.count += 1
    if (weight > this.#firstWeight) {
      this.second = this.first
      this.#secondWeight = this.#firstWeight
      this.first = row
      this.#firstWeight = weight
    } else if (weight > this.#secondWeight) {
      this.second = row
      this.#secondWeight = weight
    }
  }

  firstExcept (row: BackendRow | undefined): BackendRow | undefined { return this.first === row ? this.second : this.first }
}

// Ranks all servers in one pass: those of this zone, of this region, outside it, and all.
const rankServers = (servers: readonly BackendRow[], self: Member, object: string): Readonly<Record<'zone' | 'region' | 'outside' | 'all', TopRanked>> => {
  const ranked = { zone: new TopRanked(), region: new TopRanked(), outside: new TopRanked(), all: new TopRanked() }
  const objectHash = rendezvousHash(object)
  for (const row of servers) {
    const weight = weightOfHashes(objectHash, row.hash)
    ranked.all.add(row, weight)
    if (row.announcement.region !== self.region) ranked.outside.add(row, weight)
    else ranked.region.add(row, weight)
    if (row.announcement.zone === self.zone) ranked.zone.add(row, weight)
  }
  return ranked
}

/** Returns the preferred servers of an object among those of its service. The first one is in this zone if the zone has enough servers, else in this region, else in any region. */
export const findPreferredServers = (servers: readonly BackendRow[], self: Member, object: string): PreferredServers => {
  if (servers.length === 0) return NO_SERVERS
  const { zone, region, outside, all } = rankServers(servers, self, object)
  const { first } = zone.count >= MIN_ZONE_SERVERS ? zone : region.count > 0 ? region : all
  const second = region.count >= MIN_REGION_SERVERS ? region.firstExcept(first) : undefined
  return { first, second, remote: outside.firstExcept(first) }
}

const UINT32_RANGE = 2 ** 32

/**
 * Returns the preferred servers of an object that has one home for its whole region. `awayFraction` of the objects have it in another
 * region, because the servers of this one could not serve the requests for all of them.
 */
export const findRegionalServers = (servers: readonly BackendRow[], self: Member, object: string, awayFraction: number): PreferredServers & { readonly isAway: boolean } => {
  const { region, outside } = rankServers(servers, self, object)
  const isAway = region.count === 0 || (outside.count > 0 && rendezvousWeight(object, self.region) < awayFraction * UINT32_RANGE)
  const [near, far] = isAway ? [outside, region] : [region, outside]
  return { first: near.first, second: near.second, remote: far.first, isAway }
}

/** Selects the preferred backend servers of an object by rendezvous hashing, so that all hosts of a region select the same ones without coordination. */

import type { BackendRow } from '../announcement/types.js'
import { rendezvousWeight } from '../core/rendezvous.js'
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

const findHighestRanked = (object: string, servers: readonly BackendRow[], except: BackendRow | undefined): BackendRow | undefined => {
  let highest: BackendRow | undefined
  let highestWeight = -1
  for (const row of servers) {
    if (row === except) continue
    const weight = rendezvousWeight(object, row.key)
    if (weight <= highestWeight) continue
    highestWeight = weight
    highest = row
  }
  return highest
}

/** Returns the preferred servers of an object among those of its service. The first one is in this zone if the zone has enough servers, else in this region, else in any region. */
export const findPreferredServers = (servers: readonly BackendRow[], self: Member, object: string): PreferredServers => {
  if (servers.length === 0) return NO_SERVERS
  const region = servers.filter(row => row.announcement.region === self.region)
  const zone = region.filter(row => row.announcement.zone === self.zone)
  const local = zone.length >= MIN_ZONE_SERVERS ? zone : region.length > 0 ? region : servers
  const first = findHighestRanked(object, local, undefined)
  const outside = servers.filter(row => row.announcement.region !== self.region)
  const second = region.length >= MIN_REGION_SERVERS ? findHighestRanked(object, region, first) : undefined
  return { first, second, remote: findHighestRanked(object, outside, first) }
}

const UINT32_RANGE = 2 ** 32

/**
 * Returns the preferred servers of an object that has one home for its whole region. `awayFraction` of the objects have it in another
 * region, because the servers of this one could not serve the requests for all of them.
 */
export const findRegionalServers = (servers: readonly BackendRow[], self: Member, object: string, awayFraction: number): PreferredServers & { readonly isAway: boolean } => {
  const region = servers.filter(row => row.announcement.region === self.region)
  const outside = servers.filter(row => row.announcement.region !== self.region)
  const isAway = region.length === 0 || (outside.length > 0 && rendezvousWeight(object, self.region) < awayFraction * UINT32_RANGE)
  const [near, far] = isAway ? [outside, region] : [region, outside]
  const first = findHighestRanked(object, near, undefined)
  return { first, second: findHighestRanked(object, near, first), remote: findHighestRanked(object, far, undefined), isAway }
}

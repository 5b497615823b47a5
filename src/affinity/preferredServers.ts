/** Names the backend servers that an object is sent to first; all hosts of a region name the same ones without talking to each other. */

import type { BackendRow } from '../announcement/types.js'
import { rendezvousWeight } from '../core/rendezvous.js'
import type { Member } from '../membership/types.js'

/** A zone with fewer servers of a service shares its objects among those of the whole region: one server could not remember all. */
const MIN_ZONE_SERVERS = 2
/** In a region with fewer servers a second home would make each of them know all objects, which is more than they remember. */
const MIN_REGION_SERVERS = 3

/** The servers that an object is sent to first, and where those have no room: another one of the region, and one outside it. */
export interface PreferredServers {
  readonly first: BackendRow | undefined
  readonly second: BackendRow | undefined
  readonly remote: BackendRow | undefined
}

const NO_SERVERS: PreferredServers = { first: undefined, second: undefined, remote: undefined }

const findHighestRanked = (object: string, servers: readonly BackendRow[], except: BackendRow | undefined): BackendRow | undefined => {
  let found: BackendRow | undefined
  let greatest = -1
  for (const row of servers) {
    if (row === except) continue
    const weight = rendezvousWeight(object, row.key)
    if (weight <= greatest) continue
    greatest = weight
    found = row
  }
  return found
}

/** The homes of an object among the live servers of its service: in this zone if it has some, else in this region, else anywhere. */
export const findPreferredServers = (servers: readonly BackendRow[], self: Member, object: string): PreferredServers => {
  if (servers.length === 0) return NO_SERVERS
  const region = servers.filter(row => row.announcement.region === self.region)
  const zone = region.filter(row => row.announcement.zone === self.zone)
  const near = zone.length >= MIN_ZONE_SERVERS ? zone : region.length > 0 ? region : servers
  const first = findHighestRanked(object, near, undefined)
  const far = servers.filter(row => row.announcement.region !== self.region)
  const second = region.length >= MIN_REGION_SERVERS ? findHighestRanked(object, region, first) : undefined
  return { first, second, remote: findHighestRanked(object, far, first) }
}

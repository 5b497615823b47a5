/** Names the backend servers that an object is sent to first; all hosts of a region name the same ones without talking to each other. */

import type { BackendRow } from '../announcement/types.js'
import { rendezvousWeight } from '../core/rendezvous.js'
import type { Member } from '../membership/types.js'

/** A zone with fewer servers of a service shares its objects among those of the whole region: one server could not remember all. */
const FEWEST_OF_ZONE = 2
/** In a region with fewer servers a second home would make each of them know all objects, which is more than they remember. */
const FEWEST_OF_REGION = 3

/** The servers that an object is sent to first, and where those have no room: another one of the region, and one outside it. */
export interface ObjectHomes {
  readonly first: BackendRow | undefined
  readonly second: BackendRow | undefined
  readonly far: BackendRow | undefined
}

const NOWHERE: ObjectHomes = { first: undefined, second: undefined, far: undefined }

const best = (object: string, servers: readonly BackendRow[], except: BackendRow | undefined): BackendRow | undefined => {
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
export const findHomes = (servers: readonly BackendRow[], self: Member, object: string): ObjectHomes => {
  if (servers.length === 0) return NOWHERE
  const region = servers.filter(row => row.announcement.region === self.region)
  const zone = region.filter(row => row.announcement.zone === self.zone)
  const near = zone.length >= FEWEST_OF_ZONE ? zone : region.length > 0 ? region : servers
  const first = best(object, near, undefined)
  const far = servers.filter(row => row.announcement.region !== self.region)
  const second = region.length >= FEWEST_OF_REGION ? best(object, region, first) : undefined
  return { first, second, far: best(object, far, first) }
}

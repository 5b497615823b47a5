/** Locations of the entry hosts of a virtual fleet, and the network delays between them. */

import type { HostId } from '../core/id.js'
import type { Millis } from '../core/tick.js'

/** The zone and region of an entry host. */
export interface HostLocation { readonly host: string, readonly zone: string, readonly region: string }

/** Creates the same number of entry hosts in each zone, named REGION, zone number, `-`, host number: `n1-2`. */
export const createLocations = (regions: readonly string[], zonesPerRegion: number, hostsPerZone: number): HostLocation[] => {
  const locations: HostLocation[] = []
  for (const region of regions) {
    for (let zone = 1; zone <= zonesPerRegion; zone += 1) {
      for (let number = 1; number <= hostsPerZone; number += 1) {
        locations.push({ host: `${region}${zone}-${number}`, zone: `${region}${zone}`, region })
      }
    }
  }
  return locations
}

/** Returns the zone in the name of a host. */
export const zoneOfHost = (host: string): string => host.split('-', 1)[0] ?? ''

/** Returns a delay function: 0.5 ms within a region, `regionMs` between regions. Reads zones from host names as `createLocations` forms them. */
export const delayByRegion = (regionMs: Millis) => (from: HostId, to: HostId): Millis => {
  if (zoneOfHost(from) === zoneOfHost(to)) return 0.5
  return zoneOfHost(from).slice(0, -1) === zoneOfHost(to).slice(0, -1) ? 0.5 : regionMs
}

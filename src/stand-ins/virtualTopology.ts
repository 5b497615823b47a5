/** Places of entry hosts in a virtual fleet, and the time between them. */

import type { HostId } from '../core/id.js'
import type { Millis } from '../core/tick.js'

/** An entry host's place. */
export interface HostLocation { readonly host: string, readonly zone: string, readonly region: string }

/** Entry hosts over zones of regions, as both users have them. */
export const createLocations = (regions: readonly string[], zonesPerRegion: number, hostsPerZone: number): HostLocation[] => {
  const places: HostLocation[] = []
  for (const region of regions) {
    for (let zone = 1; zone <= zonesPerRegion; zone += 1) {
      for (let number = 1; number <= hostsPerZone; number += 1) {
        places.push({ host: `${region}${zone}-${number}`, zone: `${region}${zone}`, region })
      }
    }
  }
  return places
}

/** Delays between hosts whose names begin with their region and zone, as in `placesOver`. */
export const delayByRegion = (regionMs: Millis) => (from: HostId, to: HostId): Millis => {
  const zoneOf = (host: HostId): string => host.split('-', 1)[0] ?? ''
  if (zoneOf(from) === zoneOf(to)) return 0.5
  return zoneOf(from).slice(0, -1) === zoneOf(to).slice(0, -1) ? 0.5 : regionMs
}

/** Computes the fraction of a region's requests that exceeds the capacity of its own backend servers, assuming equal demand in all regions. */

import type { AnnouncementTables } from '../announcement/types.js'
import type { RegionId, ServiceId } from '../core/id.js'

/** Returns the fraction (0 to 1) of a region's requests that must run in other regions, from the slots of each region: for one service, or for all services if that is null. */
export const overflowFraction = (tables: AnnouncementTables, service: ServiceId | null, home: RegionId): number => {
  const slots = new Map<RegionId, number>([[home, 0]])
  let totalSlots = 0
  for (const { announcement } of tables.backends.rows()) {
    if ((service !== null && announcement.service !== service) || announcement.state !== 'up') continue
    slots.set(announcement.region, (slots.get(announcement.region) ?? 0) + announcement.slots)
    totalSlots += announcement.slots
  }
  if (totalSlots === 0) return 0
  const evenShare = totalSlots / slots.size
  return Math.max(0, 1 - (slots.get(home) ?? 0) / evenShare)
}

/** Keeps the fractions until a server comes, goes or changes. */
export class OverflowCache {
  #revision = -1
  readonly #fractions = new Map<string, number>()

  /** Returns the overflow fraction of a region, see `overflowFraction`. */
  fraction (tables: AnnouncementTables, service: ServiceId | null, home: RegionId): number {
    if (tables.backends.revision !== this.#revision) {
      this.#fractions.clear()
      this.#revision = tables.backends.revision
    }
    const key = `${service ?? ''}/${home}`
    let fraction = this.#fractions.get(key)
    if (fraction === undefined) {
      fraction = overflowFraction(tables, service, home)
      this.#fractions.set(key, fraction)
    }
    return fraction
  }
}

/** The part of a region's requests that its own backend servers have no room for, when regions ask alike. */

import type { AnnouncementTables } from '../announcement/types.js'
import type { RegionId, ServiceId } from '../core/id.js'

/** Part of the requests of a region that goes elsewhere, by the slots of each region, 0 to 1; for one service, or for all where none is named. */
export const overflowFraction = (tables: AnnouncementTables, service: ServiceId | null, home: RegionId): number => {
  const slots = new Map<RegionId, number>([[home, 0]])
  let whole = 0
  for (const { announcement } of tables.backends.rows()) {
    if ((service !== null && announcement.service !== service) || announcement.state !== 'up') continue
    slots.set(announcement.region, (slots.get(announcement.region) ?? 0) + announcement.slots)
    whole += announcement.slots
  }
  if (whole === 0) return 0
  const evenShare = whole / slots.size
  return Math.max(0, 1 - (slots.get(home) ?? 0) / evenShare)
}

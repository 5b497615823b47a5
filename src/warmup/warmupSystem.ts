/** Marks the backend servers of a zone as cold when its evacuation ends, because they may have been replaced in the meantime. */

import type { AnnouncementTables } from '../announcement/types.js'
import type { ZoneId } from '../core/id.js'
import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import type { Configuration } from '../configuration/configurationTables.js'

/** Time within which every server reports whether it is cold. */
export const COLD_REPORT_WAIT_MS: Millis = 2_500

type WarmupTables = AnnouncementTables & { readonly configuration: Configuration }

/** Detects the end of evacuations. */
export class WarmupSystem implements System<WarmupTables, unknown, never> {
  readonly name = 'warmup'
  #revision = -1
  #evacuated = new Set<ZoneId>()

  run (tick: Tick<WarmupTables, unknown, never>): void {
    const { evacuations } = tick.tables.configuration
    if (evacuations.revision === this.#revision) return
    this.#revision = evacuations.revision
    for (const zone of this.#evacuated) {
      if (!evacuations.has(zone)) this.#markCold(tick, zone)
    }
    this.#evacuated = new Set([...evacuations.rows()].map(row => row.zone))
  }

  deadline (): Millis { return NEVER }

  #markCold (tick: Tick<WarmupTables, unknown, never>, zone: ZoneId): void {
    for (const row of tick.tables.backends.rows()) {
      if (row.announcement.zone === zone) row.coldUntil = Math.max(row.coldUntil, tick.now + COLD_REPORT_WAIT_MS)
    }
  }
}

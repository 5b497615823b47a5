/** Processes announcements and marks servers as gone when they stop announcing themselves. */

import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import { spreadRumor } from '../membership/spreadRumor.js'
import { REPORT_REFRESH_MS, hasLiveReceiver } from './reportSystem.js'
import { announcementTopic, backendKey, mergeAnnouncement } from './announcementTopic.js'
import type { Announcement, AnnouncementReceived, BackendRow } from './types.js'

/** Interval at which a backend server announces itself. */
export const ANNOUNCEMENT_INTERVAL_MS: Millis = 500
/** Time without an announcement after which a server is marked gone and gets no new requests. */
export const ANNOUNCEMENT_EXPIRY_MS: Millis = 2_000
/** A host counts as connected to the fleet while its configuration was confirmed within this time. */
const MAX_CONFIRMATION_AGE_MS: Millis = 5_000
const EXPIRY_RETRY_INTERVAL_MS: Millis = 1_000
/** Refreshes of another control host that may be lost before its servers count as silent. */
const MISSED_REFRESHES = 2
/** How long the row of a server that is gone is kept, so that delayed rumors do not restore it. */
const GONE_RETENTION_MS: Millis = 60_000

type AnnouncementTick = Tick<RumorTables, { kind: string }, unknown>

const handleAnnouncement = (tick: AnnouncementTick, announcement: Announcement): void => {
  const shouldSpread = mergeAnnouncement(tick.tables, announcement, tick.now)
  const row = tick.tables.backends.get(backendKey(announcement))
  // An announcement of another epoch was not merged and must not keep the recorded process alive.
  if (row === undefined || row.announcement.epoch !== announcement.epoch) return
  row.heardAt = tick.now
  row.reportsTo = tick.tables.gossip.self.host
  if (shouldSpread) spreadRumor(tick, announcementTopic, { topic: 'announcement', announcement: row.announcement })
}

const expire = (tick: AnnouncementTick, row: BackendRow): void => {
  if (row.announcement.state === 'gone') {
    if (row.inFlight === 0) tick.tables.backends.remove(row.key)
    else row.heardAt = tick.now
    return
  }
  row.announcement = { ...row.announcement, state: 'gone' }
  row.heardAt = tick.now
  tick.tables.backends.put(row)
  spreadRumor(tick, announcementTopic, { topic: 'announcement', announcement: row.announcement })
}

export class AnnouncementSystem implements System<RumorTables, { kind: string }, unknown> {
  readonly name = 'announcement'
  #nextExpiryAt: Millis = NEVER

  /**
   * With shared reports, a server may announce itself to any control host. The one that it reports to judges its silence; the
   * others wait longer, unless that host is dead. A host that is not connected to the others marks no server as gone.
   */
  constructor (readonly expiryMs: Millis = ANNOUNCEMENT_EXPIRY_MS, readonly hasSharedReports = false) {}

  run (tick: AnnouncementTick): void {
    for (const row of tick.inbox) {
      if (row.kind !== 'announcement') continue
      handleAnnouncement(tick, (row as AnnouncementReceived).announcement)
      this.#nextExpiryAt = Math.min(this.#nextExpiryAt, tick.now + this.expiryMs)
    }
    if (tick.now < this.#nextExpiryAt || !this.#canExpire(tick)) return
    this.#nextExpiryAt = NEVER
    for (const row of [...tick.tables.backends.rows()]) {
      if (this.#expiryOf(tick, row) <= tick.now) expire(tick, row)
      if (tick.tables.backends.has(row.key)) this.#nextExpiryAt = Math.min(this.#nextExpiryAt, this.#expiryOf(tick, row))
    }
    // The death of another control host shortens the expiry of the servers that report to it.
    if (this.hasSharedReports) this.#nextExpiryAt = Math.min(this.#nextExpiryAt, tick.now + EXPIRY_RETRY_INTERVAL_MS)
  }

  deadline (): Millis { return this.#nextExpiryAt }

  #canExpire (tick: AnnouncementTick): boolean {
    const { confirmedAt } = tick.tables.gossip
    if (!this.hasSharedReports || (confirmedAt !== null && tick.now - confirmedAt < MAX_CONFIRMATION_AGE_MS)) return true
    this.#nextExpiryAt = tick.now + EXPIRY_RETRY_INTERVAL_MS
    return false
  }

  #expiryOf ({ tables }: AnnouncementTick, row: BackendRow): Millis {
    if (row.heardAt === null) return NEVER
    if (row.announcement.state === 'gone') return row.heardAt + GONE_RETENTION_MS
    const isJudgedElsewhere = this.hasSharedReports && row.reportsTo !== tables.gossip.self.host && hasLiveReceiver(tables, row)
    return row.heardAt + this.expiryMs + (isJudgedElsewhere ? MISSED_REFRESHES * REPORT_REFRESH_MS : 0)
  }
}

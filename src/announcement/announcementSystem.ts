/** Takes announcements in, and declares servers gone that have fallen silent. */

import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import { spreadRumor } from '../membership/spreadRumor.js'
import { announcementTopic, backendKey, mergeAnnouncement } from './announcementTopic.js'
import type { Announcement, AnnouncementReceived, BackendRow } from './types.js'

/** How often a backend server announces itself. */
export const ANNOUNCEMENT_INTERVAL_MS: Millis = 500
/** Silence after which a server gets no new work. */
export const ANNOUNCEMENT_EXPIRY_MS: Millis = 2_000
/** A host whose configuration was confirmed within this time hears what others hear. */
const MAX_CONFIRMATION_AGE_MS: Millis = 5_000
const EXPIRY_RETRY_INTERVAL_MS: Millis = 1_000
/** How long a server that is gone is remembered, so that old rumors do not revive it. */
const GONE_RETENTION_MS: Millis = 60_000

type AnnouncementTick = Tick<RumorTables, { kind: string }, unknown>

const handleAnnouncement = (tick: AnnouncementTick, announcement: Announcement): void => {
  const isNews = mergeAnnouncement(tick.tables, announcement, tick.now)
  const row = tick.tables.backends.get(backendKey(announcement))
  // An announcement that lost against a newer epoch must not keep the older process alive.
  if (row === undefined || row.announcement.epoch !== announcement.epoch) return
  row.heardAt = tick.now
  if (isNews) spreadRumor(tick, announcementTopic, { topic: 'announcement', announcement: row.announcement })
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

/** The system of announcements. */
export class AnnouncementSystem implements System<RumorTables, { kind: string }, unknown> {
  readonly name = 'announcement'
  #earliestExpiry: Millis = NEVER

  /** Where any host may hear a server, its silence counts only while this host is in touch with the others. */
  constructor (readonly expiryMs: Millis = ANNOUNCEMENT_EXPIRY_MS, readonly isShared = false) {}

  run (tick: AnnouncementTick): void {
    for (const row of tick.inbox) {
      if (row.kind !== 'announcement') continue
      handleAnnouncement(tick, (row as AnnouncementReceived).announcement)
      this.#earliestExpiry = Math.min(this.#earliestExpiry, tick.now + this.expiryMs)
    }
    if (tick.now < this.#earliestExpiry || !this.#mayJudge(tick)) return
    this.#earliestExpiry = NEVER
    for (const row of [...tick.tables.backends.rows()]) {
      if (this.#expiryOf(row) <= tick.now) expire(tick, row)
      if (tick.tables.backends.has(row.key)) this.#earliestExpiry = Math.min(this.#earliestExpiry, this.#expiryOf(row))
    }
  }

  deadline (): Millis { return this.#earliestExpiry }

  #mayJudge (tick: AnnouncementTick): boolean {
    const { confirmedAt } = tick.tables.gossip
    if (!this.isShared || (confirmedAt !== null && tick.now - confirmedAt < MAX_CONFIRMATION_AGE_MS)) return true
    this.#earliestExpiry = tick.now + EXPIRY_RETRY_INTERVAL_MS
    return false
  }

  #expiryOf (row: BackendRow): Millis {
    if (row.heardAt === null) return NEVER
    return row.heardAt + (row.announcement.state === 'gone' ? GONE_RETENTION_MS : this.expiryMs)
  }
}

/** Applies the notices of backend servers: one that leaves gets no further requests, one that asks for a pause gets none until its end. */

import { markLeaving } from '../announcement/announcementTopic.js'
import type { AnnouncementTables, BackendRow } from '../announcement/types.js'
import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import type { AttemptReported } from '../exchange/types.js'
import type { JournalTables } from '../journal/journal.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import type { ServerNotice } from './types.js'

type NoticeTables = RumorTables & AnnouncementTables & JournalTables
type NoticeInput = AttemptReported | { readonly kind: 'other' }
type NoticeTick = Tick<NoticeTables, NoticeInput, unknown>

/** Reads notices from the results of attempts. Must run before the systems that place requests. */
export class NoticeSystem implements System<NoticeTables, NoticeInput, unknown> {
  readonly name = 'notice'

  run (tick: NoticeTick): void {
    for (const row of tick.inbox) {
      if (row.kind !== 'attempt' || row.notice === undefined || row.notice === null) continue
      const server = tick.tables.backends.get(row.notice.backend)
      // The server may have started again under its name. The new process has said nothing yet.
      if (server?.announcement.epoch === row.notice.epoch) this.#apply(tick, server, row.notice)
    }
  }

  deadline (): Millis { return NEVER }

  #apply (tick: NoticeTick, server: BackendRow, { isLeaving, pauseMs }: ServerNotice): void {
    if (isLeaving && markLeaving(tick, server)) {
      tick.tables.journal.append({ at: tick.now, event: 'server-leaving', subject: server.key, facts: { epoch: server.announcement.epoch, source: 'answer' }, profile: null })
    }
    if (pauseMs === null || pauseMs === 0 || tick.now + pauseMs <= server.pausedUntil) return
    const isPaused = server.pausedUntil > tick.now
    server.pausedUntil = tick.now + pauseMs
    if (!isPaused) tick.tables.journal.append({ at: tick.now, event: 'server-paused', subject: server.key, facts: { epoch: server.announcement.epoch, forMs: pauseMs }, profile: null })
  }
}

/** Rumors about backend servers, and the row that each host keeps for one. */

import type { BackendId } from '../core/id.js'
import { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'
import type { Report } from '../membership/types.js'
import type { RumorTopic } from '../membership/rumorTopic.js'
import type { Announcement, AnnouncementTables, BackendRow } from './types.js'

const statePrecedence: Readonly<Record<Announcement['state'], number>> = { up: 0, draining: 1, gone: 2 }

/** The key of a backend server: its name within its service. */
export const backendKey = (of: { service: string, backend: string }): string => `${of.service}/${of.backend}`

const supersedes = (news: Announcement, known: Announcement): boolean => {
  if (news.epoch !== known.epoch) return news.epoch > known.epoch
  // A leaving server does not come back within its epoch; only its end is still news.
  if (known.state === 'draining' && news.state === 'up') return false
  if (news.sequence !== known.sequence) return news.sequence > known.sequence
  return statePrecedence[news.state] > statePrecedence[known.state]
}

/** A table of backend servers, grouped by service. */
export const createBackendTable = (): AnnouncementTables['backends'] => new RowTable<string, BackendRow>(row => row.key, row => row.announcement.service)

const createRow = (announcement: Announcement, now: Millis): BackendRow => ({
  key: backendKey(announcement),
  announcement,
  heardAt: null,
  firstSeenAt: now,
  inFlight: 0,
  reservedFor: null,
  ejectedUntil: 0,
  consecutiveFailures: 0,
  shedUntil: 0,
  shedStreak: 0,
  coldUntil: now + announcement.coldMs,
  coldSendTimes: [],
  otherHostsLoad: 0,
  unansweredSince: null,
  loadReportedAt: 0,
  slowness: 1,
  slownessUpdatedAt: now
})

const isRelevantChange = (news: Announcement, known: Announcement): boolean =>
  news.epoch !== known.epoch || news.state !== known.state || news.slots !== known.slots || news.target.port !== known.target.port ||
  (news.coldMs > 0) !== (known.coldMs > 0)

const sameTarget = (a: Announcement, b: Announcement): boolean =>
  a.target.address === b.target.address && a.target.port === b.target.port

// An address passes to the server that started last there; a late word of its predecessor must not take it back.
const claimAddress = (tables: AnnouncementTables, announcement: Announcement): boolean => {
  for (const row of tables.backends.rows()) {
    const other = row.announcement
    if (!sameTarget(other, announcement) || backendKey(other) === backendKey(announcement)) continue
    if (other.epoch > announcement.epoch) return false
    if (other.state !== 'gone') row.announcement = { ...other, state: 'gone' }
  }
  return true
}

/** Takes an announcement into the table; true when others should hear of it. */
export const mergeAnnouncement = (tables: AnnouncementTables, announcement: Announcement, now: Millis): boolean => {
  const row = tables.backends.get(backendKey(announcement))
  const isNewLife = row === undefined || announcement.epoch > row.announcement.epoch
  const isRevival = row?.announcement.state === 'gone' && announcement.state !== 'gone'
  if ((isNewLife || isRevival) && !claimAddress(tables, announcement)) return false
  if (row === undefined) {
    tables.backends.put(createRow(announcement, now))
    return true
  }
  if (!supersedes(announcement, row.announcement)) return false
  const known = row.announcement
  if (announcement.epoch !== known.epoch) {
    row.firstSeenAt = now
    row.ejectedUntil = 0
    row.consecutiveFailures = 0
    row.shedUntil = 0
    row.shedStreak = 0
    row.otherHostsLoad = 0
    row.slowness = 1
    row.unansweredSince = null
  }
  if (announcement.coldMs > 0) row.coldUntil = now + announcement.coldMs
  row.announcement = announcement
  tables.backends.put(row)
  return isRelevantChange(announcement, known)
}

/** The announcement of one life of a server by its name alone; of its newest life when none is named. */
export const findIncarnation = (tables: AnnouncementTables, backend: BackendId, epoch: number | null): Announcement | undefined => {
  let found: Announcement | undefined
  for (const { announcement } of tables.backends.rows()) {
    if (announcement.backend !== backend || (epoch !== null && announcement.epoch !== epoch)) continue
    if (found === undefined || announcement.epoch > found.epoch) found = announcement
  }
  return found
}

/** Takes what other control hosts heard from backend servers; returns those that had been taken for gone. */
export const applyReports = (tables: AnnouncementTables, reports: readonly Report[], now: Millis): Announcement[] => {
  const revived: Announcement[] = []
  for (const report of reports) {
    const row = tables.backends.get(backendKey(report))
    if (row === undefined || row.announcement.epoch !== report.epoch || report.sequence < row.announcement.sequence) continue
    const { state } = row.announcement
    const isRevived = state === 'gone' && report.sequence > row.announcement.sequence && claimAddress(tables, row.announcement)
    row.announcement = { ...row.announcement, sequence: report.sequence, state: isRevived ? 'up' : state }
    row.heardAt = now
    if (isRevived) revived.push(row.announcement)
  }
  return revived
}

/** The topic of announcements. */
export const announcementTopic: RumorTopic<'announcement'> = {
  key: rumor => `announcement/${backendKey(rumor.announcement)}`,
  // The sequence grows with each announcement to its own zone and is no news elsewhere.
  version: ({ announcement }) => `${announcement.epoch} ${announcement.state} ${announcement.slots} ${announcement.target.port} ${announcement.coldMs > 0 ? 'cold' : 'warm'}`,
  isRetransmitted: true,
  merge: (tick, rumor) => mergeAnnouncement(tick.tables, rumor.announcement, tick.now),
  all: function * (tables) {
    for (const row of tables.backends.rows()) yield { topic: 'announcement', announcement: row.announcement }
  },
  withAddedAge: ({ announcement }, restedMs) => ({ topic: 'announcement', announcement: { ...announcement, coldMs: Math.max(0, announcement.coldMs - restedMs) } })
}

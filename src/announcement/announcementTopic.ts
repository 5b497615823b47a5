/** The gossip topic of backend servers and the rows that each host keeps for them. */

import { rendezvousHash } from '../core/rendezvous.js'
import type { BackendId, HostId } from '../core/id.js'
import { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'
import type { Report } from '../membership/types.js'
import { spreadRumor } from '../membership/spreadRumor.js'
import type { RumorTick, RumorTopic } from '../membership/rumorTopic.js'
import type { Announcement, AnnouncementTables, BackendRow } from './types.js'

const statePrecedence: Readonly<Record<Announcement['state'], number>> = { up: 0, draining: 1, gone: 2 }

/** Returns the key of a backend server, whose name is unique within its service. */
export const backendKey = (server: { service: string, backend: string }): string => `${server.service}/${server.backend}`

const supersedes = (next: Announcement, { announcement: current, leavingEpoch }: Pick<BackendRow, 'announcement' | 'leavingEpoch'>): boolean => {
  if (next.epoch !== current.epoch) return next.epoch > current.epoch
  // A server that leaves does not return to service within its epoch, in whichever order its announcements arrive.
  if (leavingEpoch === current.epoch && next.state === 'up') return false
  if (next.state === 'draining' && current.state === 'up') return true
  if (next.sequence !== current.sequence) return next.sequence > current.sequence
  return statePrecedence[next.state] > statePrecedence[current.state]
}

/** Creates a table of backend servers, grouped by service. */
export const createBackendTable = (): AnnouncementTables['backends'] => new RowTable<string, BackendRow>(row => row.key, row => row.announcement.service)

const processKeyOf = (announcement: Announcement): string => `${backendKey(announcement)}#${announcement.epoch}`

const createRow = (announcement: Announcement, now: Millis): BackendRow => ({
  key: backendKey(announcement),
  announcement,
  heardAt: null,
  reportsTo: null,
  firstSeenAt: now,
  hash: rendezvousHash(backendKey(announcement)),
  processKey: processKeyOf(announcement),
  coldSender: null,
  leavingEpoch: announcement.state === 'draining' ? announcement.epoch : null,
  pausedUntil: 0,
  inFlight: 0,
  reservedFor: null,
  ejectedUntil: 0,
  consecutiveFailures: 0,
  shedUntil: 0,
  shedStreak: 0,
  coldUntil: now + announcement.coldMs,
  coldSendTimes: [],
  otherHostsLoad: 0,
  usualOthersLoad: 0,
  answerMs: 0,
  unansweredSince: null,
  loadReportedAt: 0,
  slowness: 1,
  slownessUpdatedAt: now
})

const isRelevantChange = (next: Announcement, current: Announcement): boolean =>
  next.epoch !== current.epoch || next.state !== current.state || next.slots !== current.slots || next.target.port !== current.target.port ||
  (next.coldMs > 0) !== (current.coldMs > 0)

const sameTarget = (a: Announcement, b: Announcement): boolean =>
  a.target.address === b.target.address && a.target.port === b.target.port

// Assigns an address to the server that started there last and marks the others at that address as gone. Returns false when
// a newer server has the address, so that a delayed announcement of an earlier server cannot take it back.
const claimAddress = (tables: AnnouncementTables, announcement: Announcement): boolean => {
  for (const row of tables.backends.rows()) {
    const other = row.announcement
    if (!sameTarget(other, announcement) || backendKey(other) === backendKey(announcement)) continue
    if (other.epoch > announcement.epoch) return false
    if (other.state === 'gone') continue
    row.announcement = { ...other, state: 'gone' }
    tables.backends.put(row)
  }
  return true
}

/** Merges an announcement into the table. Returns whether it should be spread to other hosts. */
export const mergeAnnouncement = (tables: AnnouncementTables, announcement: Announcement, now: Millis): boolean => {
  const row = tables.backends.get(backendKey(announcement))
  const isNewEpoch = row === undefined || announcement.epoch > row.announcement.epoch
  const isReturning = row?.announcement.state === 'gone' && announcement.state !== 'gone'
  if ((isNewEpoch || isReturning) && !claimAddress(tables, announcement)) return false
  if (row === undefined) {
    tables.backends.put(createRow(announcement, now))
    return true
  }
  if (!supersedes(announcement, row)) return false
  const current = row.announcement
  const isSameEpoch = announcement.epoch === current.epoch
  if (announcement.state === 'draining') row.leavingEpoch = announcement.epoch
  if (!isSameEpoch) {
    row.firstSeenAt = now
    row.processKey = processKeyOf(announcement)
    row.ejectedUntil = 0
    row.consecutiveFailures = 0
    row.pausedUntil = 0
    row.shedUntil = 0
    row.shedStreak = 0
    row.otherHostsLoad = 0
    row.usualOthersLoad = 0
    row.slowness = 1
    row.unansweredSince = null
  }
  if (announcement.coldMs > 0) row.coldUntil = now + announcement.coldMs
  row.announcement = isSameEpoch && announcement.sequence < current.sequence ? { ...announcement, sequence: current.sequence } : announcement
  const isRelevant = isRelevantChange(announcement, current)
  if (isRelevant) tables.backends.put(row)
  return isRelevant
}

/** Records that a server leaves, and tells the other hosts. Returns false if that is known. */
export const markLeaving = (tick: RumorTick, row: BackendRow): boolean => {
  const { epoch, state } = row.announcement
  if (row.leavingEpoch === epoch) return false
  row.leavingEpoch = epoch
  if (state !== 'up') return true
  row.announcement = { ...row.announcement, state: 'draining' }
  tick.tables.backends.put(row)
  spreadRumor(tick, announcementTopic, { topic: 'announcement', announcement: row.announcement })
  return true
}

/** Finds the announcement of a server by its name, whatever its service: that of the given epoch, or the newest when the epoch is null. */
export const findIncarnation = (tables: AnnouncementTables, backend: BackendId, epoch: number | null): Announcement | undefined => {
  let found: Announcement | undefined
  for (const { announcement } of tables.backends.rows()) {
    if (announcement.backend !== backend || (epoch !== null && announcement.epoch !== epoch)) continue
    if (found === undefined || announcement.epoch > found.epoch) found = announcement
  }
  return found
}

/** Applies the reports of other control hosts. Returns the announcements of servers that were marked gone and are up again. */
export const applyReports = (tables: AnnouncementTables, reports: readonly Report[], from: HostId, now: Millis): Announcement[] => {
  const returned: Announcement[] = []
  for (const report of reports) {
    const row = tables.backends.get(backendKey(report))
    if (row === undefined || row.announcement.epoch !== report.epoch || report.sequence < row.announcement.sequence) continue
    const { state } = row.announcement
    const isReturning = state === 'gone' && row.leavingEpoch !== report.epoch && report.sequence > row.announcement.sequence && claimAddress(tables, row.announcement)
    row.announcement = { ...row.announcement, sequence: report.sequence, state: isReturning ? 'up' : state }
    row.heardAt = now
    row.reportsTo = from
    if (!isReturning) continue
    tables.backends.put(row)
    returned.push(row.announcement)
  }
  return returned
}

// Another control host may have lost the reports of a server that now reports to this one, and have marked it gone.
const refuteSilence = (tick: RumorTick, rumored: Announcement): void => {
  const row = tick.tables.backends.get(backendKey(rumored))
  if (rumored.state !== 'gone' || row === undefined || row.announcement.state === 'gone') return
  if (row.reportsTo !== tick.tables.gossip.self.host || row.announcement.epoch !== rumored.epoch) return
  spreadRumor(tick, announcementTopic, { topic: 'announcement', announcement: row.announcement })
}

export const announcementTopic: RumorTopic<'announcement'> = {
  key: rumor => `announcement/${backendKey(rumor.announcement)}`,
  // Leaves out the sequence: it increases with each announcement and matters only where the server announces itself.
  version: ({ announcement }) => `${announcement.epoch} ${announcement.state} ${announcement.slots} ${announcement.target.port} ${announcement.coldMs > 0 ? 'cold' : 'warm'}`,
  isRetransmitted: true,
  merge: (tick, rumor) => {
    if (mergeAnnouncement(tick.tables, rumor.announcement, tick.now)) return true
    refuteSilence(tick, rumor.announcement)
    return false
  },
  all: function * (tables) {
    for (const row of tables.backends.rows()) yield { topic: 'announcement', announcement: row.announcement }
  },
  withAddedAge: ({ announcement }, heldMs) => ({ topic: 'announcement', announcement: { ...announcement, coldMs: Math.max(0, announcement.coldMs - heldMs) } })
}

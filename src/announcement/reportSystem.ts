/**
 * Shares among control hosts which of them a backend server reports to. A server usually stays with one control host, which
 * alone judges its silence; the others only need to know whose it is, and take over when that host is dead.
 */

import type { HostId } from '../core/id.js'
import type { Millis, System, Tick } from '../core/tick.js'
import { NEVER } from '../core/tick.js'
import type { MembershipTables, MessageSent, GossipMessage, Report } from '../membership/types.js'
import { backendKey } from './announcementTopic.js'
import type { AnnouncementReceived, AnnouncementTables, BackendRow } from './types.js'

/** Reports of servers that reported to another control host before are collected for this time. */
export const REPORT_INTERVAL_MS: Millis = 400
/** Interval at which a control host repeats the reports of all servers that report to it. */
export const REPORT_REFRESH_MS: Millis = 10_000
/** Largest number of reports in one message. */
const MAX_REPORTS = 1_024

type ReportTables = Pick<MembershipTables, 'members' | 'gossip'> & AnnouncementTables
type ReportInput = AnnouncementReceived | { readonly kind: 'other' }
type ReportTick = Tick<ReportTables, ReportInput, MessageSent<GossipMessage>>

const toReport = ({ announcement: { service, backend, epoch, sequence } }: BackendRow): Report => ({ service, backend, epoch, sequence })

/** Sends batches of reports to the other control hosts. Must run before the system that merges announcements. */
export class ReportSystem implements System<ReportTables, ReportInput, MessageSent<GossipMessage>> {
  readonly name = 'report'
  #moved = new Set<string>()
  #nextSendAt: Millis = NEVER
  #nextRefreshAt: Millis = NEVER
  /** Epoch of each control host that has been told about the servers that report here. */
  readonly #informed = new Map<HostId, number>()
  /** Revision of the member table that was looked through for control hosts that have started. */
  #membersRevision = -1

  run (tick: ReportTick): void {
    const { host } = tick.tables.gossip.self
    for (const row of tick.inbox) {
      if (row.kind !== 'announcement') continue
      const key = backendKey(row.announcement)
      this.#nextRefreshAt = Math.min(this.#nextRefreshAt, tick.now + REPORT_REFRESH_MS)
      if (tick.tables.backends.get(key)?.reportsTo === host) continue
      this.#moved.add(key)
      this.#nextSendAt = Math.min(this.#nextSendAt, tick.now + REPORT_INTERVAL_MS)
    }
    if (tick.tables.members.revision !== this.#membersRevision) this.#findStarted(tick)
    if (tick.now >= this.#nextRefreshAt) this.#refresh(tick)
    else if (tick.now >= this.#nextSendAt) this.#sendMoved(tick)
  }

  deadline (): Millis { return Math.min(this.#nextSendAt, this.#nextRefreshAt) }

  // A control host that has started has none of the earlier reports.
  #findStarted (tick: ReportTick): void {
    const { members, gossip } = tick.tables
    this.#membersRevision = members.revision
    for (const { member } of members.rows()) {
      if (member.role !== 'control' || member.host === gossip.self.host || this.#informed.get(member.host) === member.epoch) continue
      this.#informed.set(member.host, member.epoch)
      this.#nextRefreshAt = Math.min(this.#nextRefreshAt, tick.now + REPORT_INTERVAL_MS)
    }
  }

  #sendMoved (tick: ReportTick): void {
    const rows: BackendRow[] = []
    for (const key of this.#moved) {
      const row = tick.tables.backends.get(key)
      if (row !== undefined) rows.push(row)
    }
    this.#moved = new Set()
    this.#nextSendAt = NEVER
    this.#send(tick, rows)
  }

  #refresh (tick: ReportTick): void {
    const { host } = tick.tables.gossip.self
    const rows: BackendRow[] = []
    for (const row of tick.tables.backends.rows()) {
      if (row.reportsTo === host && row.announcement.state !== 'gone') rows.push(row)
    }
    this.#moved = new Set()
    this.#nextSendAt = NEVER
    this.#nextRefreshAt = rows.length === 0 ? NEVER : tick.now + REPORT_REFRESH_MS
    this.#send(tick, rows)
  }

  #send (tick: ReportTick, rows: readonly BackendRow[]): void {
    for (let first = 0; first < rows.length; first += MAX_REPORTS) {
      const reports = rows.slice(first, first + MAX_REPORTS).map(toReport)
      for (const { member } of tick.tables.members.rows()) {
        if (member.role !== 'control' || member.state === 'dead' || member.host === tick.tables.gossip.self.host) continue
        tick.emit({ kind: 'send', to: member.host, address: member.link, message: { kind: 'reports', reports } })
      }
    }
  }
}

/** Whether the control host that a server reports to is known and not dead. */
export const hasLiveReceiver = ({ members }: Pick<MembershipTables, 'members'>, { reportsTo }: Pick<BackendRow, 'reportsTo'>): boolean => {
  const receiver: HostId | null = reportsTo
  const member = receiver === null ? undefined : members.get(receiver)?.member
  return member !== undefined && member.state !== 'dead'
}

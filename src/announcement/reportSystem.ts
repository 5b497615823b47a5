/** Shares received announcements among control hosts, because a backend server may announce itself to a different host each time. */

import type { Millis, System, Tick } from '../core/tick.js'
import { NEVER } from '../core/tick.js'
import type { MembershipTables, MessageSent, GossipMessage, Report } from '../membership/types.js'
import type { AnnouncementReceived } from './types.js'

/** Reports within this interval are sent in one message. */
export const REPORT_INTERVAL_MS: Millis = 400

type ReportTables = Pick<MembershipTables, 'members' | 'gossip'>
type ReportTick = Tick<ReportTables, AnnouncementReceived | { readonly kind: 'other' }, MessageSent<GossipMessage>>

/** Sends batches of reports to the other control hosts. */
export class ReportSystem implements System<ReportTables, AnnouncementReceived | { readonly kind: 'other' }, MessageSent<GossipMessage>> {
  readonly name = 'report'
  #pending = new Map<string, Report>()
  #nextSendAt: Millis = NEVER

  run (tick: ReportTick): void {
    for (const row of tick.inbox) {
      if (row.kind !== 'announcement') continue
      const { service, backend, epoch, sequence } = row.announcement
      this.#pending.set(`${service}/${backend}`, { service, backend, epoch, sequence })
      this.#nextSendAt = Math.min(this.#nextSendAt, tick.now + REPORT_INTERVAL_MS)
    }
    if (tick.now >= this.#nextSendAt) this.#send(tick)
  }

  deadline (): Millis { return this.#nextSendAt }

  #send (tick: ReportTick): void {
    const reports = [...this.#pending.values()]
    this.#pending = new Map()
    this.#nextSendAt = NEVER
    for (const { member } of tick.tables.members.rows()) {
      if (member.role !== 'control' || member.state === 'dead' || member.host === tick.tables.gossip.self.host) continue
      tick.emit({ kind: 'send', to: member.host, address: member.link, message: { kind: 'reports', reports } })
    }
  }
}

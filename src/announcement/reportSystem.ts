/** Control hosts tell each other whom they heard from, since a backend server may speak to another one each time. */

import type { Millis, System, Tick } from '../core/tick.js'
import { NEVER } from '../core/tick.js'
import type { MembershipTables, MessageSent, GossipMessage, Report } from '../membership/types.js'
import type { AnnouncementReceived } from './types.js'

/** Reports of this span share a message. */
export const REPORT_INTERVAL_MS: Millis = 400

type ReportTables = Pick<MembershipTables, 'members' | 'gossip'>
type ReportTick = Tick<ReportTables, AnnouncementReceived | { readonly kind: 'other' }, MessageSent<GossipMessage>>

/** Shares reports among control hosts. */
export class ReportSystem implements System<ReportTables, AnnouncementReceived | { readonly kind: 'other' }, MessageSent<GossipMessage>> {
  readonly name = 'report'
  #pending = new Map<string, Report>()
  #sendAt: Millis = NEVER

  run (tick: ReportTick): void {
    for (const row of tick.inbox) {
      if (row.kind !== 'announcement') continue
      const { service, backend, epoch, sequence } = row.announcement
      this.#pending.set(`${service}/${backend}`, { service, backend, epoch, sequence })
      this.#sendAt = Math.min(this.#sendAt, tick.now + REPORT_INTERVAL_MS)
    }
    if (tick.now >= this.#sendAt) this.#send(tick)
  }

  deadline (): Millis { return this.#sendAt }

  #send (tick: ReportTick): void {
    const reports = [...this.#pending.values()]
    this.#pending = new Map()
    this.#sendAt = NEVER
    for (const { member } of tick.tables.members.rows()) {
      if (member.role !== 'control' || member.state === 'dead' || member.host === tick.tables.gossip.self.host) continue
      tick.emit({ kind: 'send', to: member.host, address: member.link, message: { kind: 'reports', reports } })
    }
  }
}

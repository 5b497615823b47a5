/** Counts requests and their places in the shift accounts. */

import type { RegionId, ServiceId } from '../core/id.js'
import { findApprovedTerms } from '../configuration/configurationTables.js'
import { awayByCapacity } from '../shift/capacityPlan.js'
import { findAwayLimit, findShiftAccount, openShift, shiftSubjectOf } from '../shift/shiftAccount.js'
import type { ShiftTables } from '../shift/types.js'
import { profileOf } from './refusalJournal.js'
import type { AnnouncementTables } from '../announcement/types.js'
import type { NoteTick } from './refusalJournal.js'
import type { ExchangeRow } from './types.js'

/** What counting needs of a tick. */
export interface PlacementTick extends NoteTick { readonly tables: NoteTick['tables'] & ShiftTables & AnnouncementTables }

/** Counts requests that have joined the queue: traffic belongs to the window in which it asked, however long it waits. */
export const countDemand = (tick: PlacementTick, service: ServiceId, queued: readonly ExchangeRow[]): void => {
  const terms = findApprovedTerms(tick.tables.configuration, service)
  if (terms === null) return
  for (const exchange of queued) {
    if (exchange.placement !== 'uncounted' || exchange.allowedRegions.length > 0) continue
    exchange.placement = 'unplaced'
    const subject = shiftSubjectOf(exchange)
    if (exchange.route !== null && !tick.tables.shifts.has(subject)) openShift(tick.tables, subject, awayByCapacity(tick.tables, null, tick.tables.gossip.self.region), tick.now)
    findShiftAccount(tick.tables, subject, terms.shiftWindowMs, tick.now).total += 1
  }
}

/** Counts where an attempt goes; an attempt after the first changes the account only by going away. */
export const countPlacement = (tick: PlacementTick, exchange: ExchangeRow, region: RegionId): void => {
  const { tables, now } = tick
  const terms = findApprovedTerms(tables.configuration, exchange.service)
  if (terms === null || exchange.allowedRegions.length > 0) return
  const account = findShiftAccount(tables, shiftSubjectOf(exchange), terms.shiftWindowMs, now)
  exchange.isAway = region !== tables.gossip.self.region
  if (!exchange.isAway) {
    if (exchange.placement === 'unplaced') account.home += 1
    if (exchange.placement !== 'away') exchange.placement = 'home'
    return
  }
  if (exchange.placement === 'home') account.home -= 1
  if (exchange.placement !== 'away') account.away += 1
  exchange.placement = 'away'
  findAwayLimit(tables, exchange.service, region).running += 1
  const { total, away, baseline } = account
  tables.journal.append({ at: now, event: 'shift', subject: exchange.exchange, facts: { service: exchange.service, to: region, total, away, baseline }, profile: profileOf(tables, exchange.service) })
}

/** Counts requests, and the regions that they run in, in the shift accounts. */

import type { RegionId, ServiceId } from '../core/id.js'
import { findApprovedTerms } from '../configuration/configurationTables.js'
import { findAwayLimit, findShiftAccount, openShiftAccount, shiftSubjectOf } from '../shift/shiftAccount.js'
import type { ShiftTables } from '../shift/types.js'
import type { HomePolicy } from '../affinity/homeScope.js'
import type { MembershipTables } from '../membership/types.js'
import { profileLabel } from './refusalJournal.js'
import type { AnnouncementTables } from '../announcement/types.js'
import type { JournalTick } from './refusalJournal.js'
import { estimateWork } from './workTime.js'
import type { ExchangeRow, ExchangeTables } from './types.js'

/** The parts of a tick that are needed to count requests. */
export interface PlacementTick extends JournalTick { readonly tables: JournalTick['tables'] & ShiftTables & AnnouncementTables & ExchangeTables & Pick<MembershipTables, 'members' | 'gossip'> }

// Objects with one home for the region have it where they are planned to run, so that none of their requests is away by plan.
const plannedShift = ({ tables }: PlacementTick, { homeScope }: ExchangeRow): number =>
  homeScope === 'region' ? 0 : tables.overflow.fraction(tables, null, tables.gossip.self.region)

/** Counts requests that have joined the queue in the current window, however long they then wait for a server. */
export const countDemand = (tick: PlacementTick, service: ServiceId, queued: readonly ExchangeRow[], homes: HomePolicy): void => {
  const terms = findApprovedTerms(tick.tables.configuration, service)
  if (terms === null) return
  for (const exchange of queued) {
    if (exchange.placement !== 'uncounted' || exchange.allowedRegions.length > 0) continue
    exchange.placement = 'unplaced'
    if (exchange.route !== null && exchange.affinity !== null) exchange.homeScope = homes.scopeOf(tick.tables, exchange.route, estimateWork(tick.tables, exchange), tick.now)
    const subject = shiftSubjectOf(exchange)
    if (exchange.route !== null && !tick.tables.shifts.has(subject)) openShiftAccount(tick.tables, subject, plannedShift(tick, exchange), tick.now)
    findShiftAccount(tick.tables, subject, terms.shiftWindowMs, tick.now).total += 1
  }
}

/** Counts the region that an attempt runs in. A retry changes the account only if it moves the request to another region. */
export const countPlacement = (tick: PlacementTick, exchange: ExchangeRow, region: RegionId): void => {
  const { tables, now } = tick
  const terms = findApprovedTerms(tables.configuration, exchange.service)
  if (terms === null || exchange.allowedRegions.length > 0) return
  const account = findShiftAccount(tables, shiftSubjectOf(exchange), terms.shiftWindowMs, now)
  exchange.isAway = region !== tables.gossip.self.region
  if (exchange.isAway) findAwayLimit(tables, exchange.service, region).running += 1
  if (exchange.isAway === exchange.isHomeAway) {
    if (exchange.placement === 'unplaced') account.home += 1
    if (exchange.placement !== 'away') exchange.placement = 'home'
    return
  }
  if (exchange.placement === 'home') account.home -= 1
  if (exchange.placement !== 'away') account.away += 1
  exchange.placement = 'away'
  const { total, away, baseline } = account
  tables.journal.append({ at: now, event: 'shift', subject: exchange.exchange, facts: { service: exchange.service, to: region, total, away, baseline }, profile: profileLabel(tables, exchange.service) })
}

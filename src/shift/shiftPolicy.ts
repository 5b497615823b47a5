/** Ways to decide whether a request runs in its own region or in another one. */

import type { BackendRow } from '../announcement/types.js'
import type { ProfileTerms } from '../plan/types.js'
import type { RegionId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { ExchangeRow } from '../exchange/types.js'
import { findAwayLimit, findShiftAccount, findAllowedPlacements } from './shiftAccount.js'
import type { ShiftTables } from './types.js'

/** What a placement is decided from. */
export interface PlacementInput {
  readonly tables: ShiftTables
  readonly service: string
  /** The subject of the account that the request belongs to. */
  readonly subject: string
  readonly terms: ProfileTerms
  readonly home: RegionId
  /** Servers that may get new work now. */
  readonly candidates: readonly BackendRow[]
  /** Where earlier attempts of the request were counted. */
  readonly placement: ExchangeRow['placement']
  /** Whether the home region has any server that is up, busy or not. */
  readonly isHomeLive: boolean
  /** Whether any server is up anywhere. */
  readonly isAnyLive: boolean
  readonly waitedMs: Millis
  /** Whether the choice of the server weighs the way to another region by itself. */
  readonly isByRoute: boolean
  readonly now: Millis
}

/** The servers that a request may go to, or that the cap forbids all of them. */
export interface Placement {
  readonly candidates: readonly BackendRow[]
  readonly isCapped: boolean
}

/** Decides where requests may run. */
export interface ShiftPolicy {
  readonly name: string
  place (input: PlacementInput): Placement
}

const isAllowed = (terms: ProfileTerms, region: RegionId): boolean =>
  terms.allowedRegions.length === 0 || terms.allowedRegions.includes(region)

/** The baseline: the nearest server that has room, without a cap. */
export class UncappedShift implements ShiftPolicy {
  readonly name = 'uncapped'

  place ({ candidates, home }: PlacementInput): Placement {
    const near = candidates.filter(row => row.announcement.region === home)
    return { candidates: near.length > 0 ? near : candidates, isCapped: false }
  }
}

/** A request waits this long for its own region before it may spill over to another. */
const SPILL_AFTER: Millis = 100

/** Keeps shifts under the profile's cap, and away traffic under what the other region has shown to bear. */
export class CappedShift implements ShiftPolicy {
  readonly name = 'capped'

  place (input: PlacementInput): Placement {
    const { tables, service, subject, terms, home, candidates, placement, isHomeLive, isAnyLive, waitedMs, isByRoute, now } = input
    const account = findShiftAccount(tables, subject, terms.shiftWindowMs, now)
    const ways = findAllowedPlacements(account, terms)
    const isHomeOpen = ways.isHomeOpen || placement === 'home'
    const isAwayOpen = ways.isAwayOpen || placement === 'away'
    const near = candidates.filter(row => row.announcement.region === home)
    if (isByRoute) return this.#openRegions(candidates, home, isHomeOpen, isAwayOpen)
    if (near.length > 0 && isHomeOpen) return { candidates: near, isCapped: false }
    const mustLeave = !isHomeLive || !isHomeOpen
    if (!mustLeave && waitedMs < SPILL_AFTER) return { candidates: [], isCapped: false }
    if (!isAwayOpen) return { candidates: [], isCapped: mustLeave && isAnyLive }
    const far = candidates.filter(row => this.#mayTake(tables, service, terms, home, row))
    return { candidates: far, isCapped: false }
  }

  // The choice of the server weighs waits and ways, so only the cap has a say here.
  #openRegions (candidates: readonly BackendRow[], home: RegionId, isHomeOpen: boolean, isAwayOpen: boolean): Placement {
    if (isHomeOpen && isAwayOpen) return { candidates, isCapped: false }
    const open = candidates.filter(row => (row.announcement.region === home) === isHomeOpen)
    return { candidates: open, isCapped: open.length === 0 && candidates.length > 0 }
  }

  #mayTake (tables: ShiftTables, service: string, terms: ProfileTerms, home: RegionId, row: BackendRow): boolean {
    const region = row.announcement.region
    if (region === home || !isAllowed(terms, region)) return false
    const limit = findAwayLimit(tables, service, region)
    return limit.running < limit.limit
  }
}

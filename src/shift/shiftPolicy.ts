/** Policies that decide whether a request runs in its home region or in another one. */

import type { BackendRow } from '../announcement/types.js'
import type { ProfileTerms } from '../plan/types.js'
import type { RegionId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { ExchangeRow } from '../exchange/types.js'
import { findAwayLimit, findShiftAccount, findAllowedPlacements } from './shiftAccount.js'
import type { ShiftTables } from './types.js'

/** Input of a placement decision. */
export interface PlacementInput {
  readonly tables: ShiftTables
  readonly service: string
  /** The subject of the account that the request belongs to. */
  readonly subject: string
  readonly terms: ProfileTerms
  /** Region of this host. */
  readonly home: RegionId
  /** Servers that may get new requests now. */
  readonly candidates: readonly BackendRow[]
  /** How earlier attempts of the request were counted. */
  readonly placement: ExchangeRow['placement']
  /** Whether the home region has any server in service, busy or not. */
  readonly hasLiveHomeServer: boolean
  /** Whether any region has a server in service. */
  readonly hasAnyLiveServer: boolean
  /** Whether the backend choice weighs the distance to other regions itself. */
  readonly choiceWeighsDistance: boolean
  /** Whether the request's object has its home in another region, so that running there is no shift. */
  readonly isHomeAway: boolean
  readonly now: Millis
}

/** The servers that a request may go to, and whether the shift cap rules out all of them. */
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

/** Baseline: prefers candidates in the home region and applies no cap. */
export class UncappedShift implements ShiftPolicy {
  readonly name = 'uncapped'

  place ({ candidates, home }: PlacementInput): Placement {
    const homeServers = candidates.filter(row => row.announcement.region === home)
    return { candidates: homeServers.length > 0 ? homeServers : candidates, isCapped: false }
  }
}

/** Keeps shifts under the cap of the profile, and requests in other regions under their adaptive concurrency limits. */
export class CappedShift implements ShiftPolicy {
  readonly name = 'capped'

  place (input: PlacementInput): Placement {
    const { tables, service, subject, terms, home, candidates, placement, hasLiveHomeServer, hasAnyLiveServer, choiceWeighsDistance, isHomeAway, now } = input
    const account = findShiftAccount(tables, subject, terms.shiftWindowMs, now)
    const allowed = findAllowedPlacements(account, terms)
    const isHomeAllowed = allowed.isHomeAllowed || placement === 'home'
    const isAwayAllowed = allowed.isAwayAllowed || placement === 'away'
    const homeServers = candidates.filter(row => row.announcement.region === home)
    if (choiceWeighsDistance) return this.#filterByRegion(candidates, row => (row.announcement.region !== home) === isHomeAway, isHomeAllowed, isAwayAllowed, isHomeAway ? hasAnyLiveServer : hasLiveHomeServer)
    if (homeServers.length > 0 && isHomeAllowed) return { candidates: homeServers, isCapped: false }
    const mustLeave = !hasLiveHomeServer || !isHomeAllowed
    if (!isAwayAllowed) return { candidates: [], isCapped: mustLeave && hasAnyLiveServer }
    const awayServers = candidates.filter(row => this.#acceptsAwayRequest(tables, service, terms, home, row))
    return { candidates: awayServers, isCapped: false }
  }

  // The backend choice weighs waits and distances itself, so only the cap applies here. A busy server at home will have room again.
  #filterByRegion (candidates: readonly BackendRow[], isAtHome: (row: BackendRow) => boolean, isHomeAllowed: boolean, isAwayAllowed: boolean, hasHome: boolean): Placement {
    if (isHomeAllowed && isAwayAllowed) return { candidates, isCapped: false }
    const permitted = candidates.filter(row => isAtHome(row) === isHomeAllowed)
    return { candidates: permitted, isCapped: permitted.length === 0 && candidates.length > 0 && !(isHomeAllowed && hasHome) }
  }

  #acceptsAwayRequest (tables: ShiftTables, service: string, terms: ProfileTerms, home: RegionId, row: BackendRow): boolean {
    const region = row.announcement.region
    if (region === home || !isAllowed(terms, region)) return false
    const limit = findAwayLimit(tables, service, region)
    return limit.running < limit.limit
  }
}

/** Routes by authority; the longest prefix that begins a path wins. */

import type { ServiceId } from '../core/id.js'
import type { Route } from './types.js'

/** All routes of the newest plan. */
export class RouteTable {
  readonly #byAuthority = new Map<string, Route[]>()
  /** The most urgent rank of any route to a service. */
  readonly #firstRanks = new Map<ServiceId, number>()
  #size = 0

  get size (): number { return this.#size }

  /** Takes the routes of another plan in place of all that it held. */
  replace (routes: readonly Route[]): void {
    this.#byAuthority.clear()
    this.#firstRanks.clear()
    this.#size = routes.length
    for (const route of routes) {
      const known = this.#byAuthority.get(route.authority)
      if (known === undefined) this.#byAuthority.set(route.authority, [route])
      else known.push(route)
      for (const { service } of route.split) this.#firstRanks.set(service, Math.min(route.rank, this.#firstRanks.get(service) ?? route.rank))
    }
    for (const known of this.#byAuthority.values()) known.sort((a, b) => b.prefix.length - a.prefix.length)
  }

  /** Whether no route to a service is more urgent than one of a rank. */
  isFirstRank (service: ServiceId, rank: number): boolean { return rank <= (this.#firstRanks.get(service) ?? rank) }

  /** The route of a request; the path may carry a query. */
  find (authority: string, path: string): Route | undefined {
    for (const route of this.#byAuthority.get(authority) ?? []) {
      if (path.startsWith(route.prefix)) return route
    }
    return undefined
  }
}

/** Matches requests to routes by authority and longest path prefix. */

import type { ServiceId } from '../core/id.js'
import type { Route } from './types.js'

/** The routes of the current plan. */
export class RouteTable {
  readonly #byAuthority = new Map<string, Route[]>()
  /** The highest priority of any route to a service: its smallest rank. */
  readonly #firstRanks = new Map<ServiceId, number>()
  #size = 0

  get size (): number { return this.#size }

  /** Replaces all routes. */
  replace (routes: readonly Route[]): void {
    this.#byAuthority.clear()
    this.#firstRanks.clear()
    this.#size = routes.length
    for (const route of routes) {
      const routesOfAuthority = this.#byAuthority.get(route.authority)
      if (routesOfAuthority === undefined) this.#byAuthority.set(route.authority, [route])
      else routesOfAuthority.push(route)
      for (const { service } of route.split) this.#firstRanks.set(service, Math.min(route.rank, this.#firstRanks.get(service) ?? route.rank))
    }
    for (const routesOfAuthority of this.#byAuthority.values()) routesOfAuthority.sort((a, b) => b.prefix.length - a.prefix.length)
  }

  /** Whether no route to the service has a higher priority, that is a smaller rank, than the given one. */
  isFirstRank (service: ServiceId, rank: number): boolean { return rank <= (this.#firstRanks.get(service) ?? rank) }

  /** Returns the route for a request. The path may include a query string. */
  find (authority: string, path: string): Route | undefined {
    for (const route of this.#byAuthority.get(authority) ?? []) {
      if (path.startsWith(route.prefix)) return route
    }
    return undefined
  }
}

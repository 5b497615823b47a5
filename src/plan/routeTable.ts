/** Matches requests to routes by authority and longest path prefix. */

import type { Route } from './types.js'

/** The routes of the current plan. */
export class RouteTable {
  readonly #byAuthority = new Map<string, Route[]>()
  #size = 0

  get size (): number { return this.#size }

  /** Replaces all routes. */
  replace (routes: readonly Route[]): void {
    this.#byAuthority.clear()
    this.#size = routes.length
    for (const route of routes) {
      const routesOfAuthority = this.#byAuthority.get(route.authority)
      if (routesOfAuthority === undefined) this.#byAuthority.set(route.authority, [route])
      else routesOfAuthority.push(route)
    }
    for (const routesOfAuthority of this.#byAuthority.values()) routesOfAuthority.sort((a, b) => b.prefix.length - a.prefix.length)
  }

  /** Whether any route has this authority. */
  has (authority: string): boolean { return this.#byAuthority.has(authority) }

  /** Returns the route for a request. The path may include a query string. */
  find (authority: string, path: string): Route | undefined {
    for (const route of this.#byAuthority.get(authority) ?? []) {
      if (path.startsWith(route.prefix)) return route
    }
    return undefined
  }
}

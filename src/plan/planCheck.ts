/** Finds what makes a plan invalid, whoever sent it. */

import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import type { Plan, Route } from './types.js'

/** Why a plan is refused. */
export type PlanError =
  | { readonly kind: 'service-unknown', readonly route: string, readonly service: string }
  | { readonly kind: 'target-over-timeout', readonly route: string }
  | { readonly kind: 'no-attempts', readonly route: string }
  | { readonly kind: 'prefix-without-slash', readonly route: string }
  | { readonly kind: 'no-weight', readonly route: string }
  | { readonly kind: 'name-twice', readonly name: string }
  | { readonly kind: 'place-twice', readonly route: string }
  | { readonly kind: 'key-shared', readonly workspace: string }

/** A target this far above the timeout, in milliseconds, is a mistake rather than a loose aim. */
const MAX_TARGET_OVER_TIMEOUT_MS = 60_000

const checkRoute = (route: Route, services: ReadonlySet<string>): PlanError | null => {
  if (!route.prefix.startsWith('/')) return { kind: 'prefix-without-slash', route: route.route }
  if (route.attempts < 1) return { kind: 'no-attempts', route: route.route }
  if (route.targetMs >= route.timeoutMs + MAX_TARGET_OVER_TIMEOUT_MS) return { kind: 'target-over-timeout', route: route.route }
  let weights = 0
  for (const { service, weight } of route.split) {
    if (!services.has(service)) return { kind: 'service-unknown', route: route.route, service }
    weights += weight
  }
  return weights > 0 ? null : { kind: 'no-weight', route: route.route }
}

const checkRoutes = (plan: Plan): PlanError | null => {
  const services = new Set<string>(plan.services.map(row => row.service))
  const places = new Set<string>()
  for (const route of plan.routes) {
    const error = checkRoute(route, services)
    if (error !== null) return error
    const place = `${route.authority} ${route.prefix}`
    if (places.has(place)) return { kind: 'place-twice', route: route.route }
    places.add(place)
  }
  return null
}

const checkUniqueNames = (names: readonly string[]): PlanError | null => {
  const seen = new Set<string>()
  for (const name of names) {
    if (seen.has(name)) return { kind: 'name-twice', name }
    seen.add(name)
  }
  return null
}

const checkKeys = (plan: Plan): PlanError | null => {
  const owners = new Map<string, string>()
  for (const { workspace, keys } of plan.workspaces) {
    for (const digest of keys) {
      if ((owners.get(digest) ?? workspace) !== workspace) return { kind: 'key-shared', workspace }
      owners.set(digest, workspace)
    }
  }
  return null
}

/** Checks a plan as a whole. */
export const checkPlan = (plan: Plan): Outcome<Plan, PlanError> => {
  const error = checkRoutes(plan) ??
    checkUniqueNames(plan.routes.map(row => row.route)) ??
    checkUniqueNames(plan.services.map(row => row.service)) ??
    checkUniqueNames(plan.workspaces.map(row => row.workspace)) ??
    checkKeys(plan)
  return error === null ? ok(plan) : fail(error)
}

/** Finds the service that a request goes to and the bounds that it runs under. */

import type { RegionId, RouteId } from '../core/id.js'
import type { Random } from '../core/random.js'
import type { Millis } from '../core/tick.js'
import type { Configuration } from '../configuration/configurationTables.js'
import type { Service, Workspace } from '../configuration/types.js'
import type { Route, SplitPart } from '../plan/types.js'
import type { RefusalReason, RequestReceived } from './types.js'

/** Attempts that a request without a route may make. */
export const MOST_ATTEMPTS = 4
/** Ranks of routes within one rank of a workspace. */
const ROUTE_RANKS = 100

/** Where a request goes, and under which bounds. */
export interface Destination {
  readonly service: Service
  readonly route: Route | null
  readonly isOpen: boolean
}

/** The bounds of a request, as its exchange keeps them. */
export interface Bounds {
  readonly route: RouteId | null
  readonly idempotent: boolean
  readonly timeoutMs: Millis
  readonly targetMs: Millis
  readonly attemptsAllowed: number
  readonly rank: number
  readonly isFirstRank: boolean
  readonly allowedRegions: readonly RegionId[]
  readonly affinity: string | null
}

const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE'])

/** Draws one part of a split in proportion to the weights. */
export const pickSplitPart = (split: readonly SplitPart[], random: Random): SplitPart | undefined => {
  const first = split[0]
  if (split.length <= 1) return first
  let whole = 0
  for (const part of split) whole += part.weight
  let left = random.unit() * whole
  for (const part of split) {
    left -= part.weight
    if (left < 0) return part
  }
  return first
}

const isOpenPath = (service: Service, path: string): boolean => {
  const plain = path.split('?', 1)[0] ?? path
  return service.openPaths.includes(plain)
}

/** Finds the destination; a reason when there is none. */
export const findDestination = (configuration: Configuration, random: Random, request: RequestReceived): Destination | RefusalReason => {
  const { target, path } = request
  if (target.kind === 'service') {
    const service = configuration.services.get(target.service)
    return service === undefined ? 'service-unknown' : { service, route: null, isOpen: isOpenPath(service, path) }
  }
  if (configuration.plan === null) return 'configuration-not-loaded'
  const route = configuration.routes.find(target.authority, path)
  const part = route === undefined ? undefined : pickSplitPart(route.split, random)
  const service = part === undefined ? undefined : configuration.services.get(part.service)
  if (route === undefined || service === undefined) return 'route-unknown'
  // Without any workspace there are no keys to show.
  return { service, route, isOpen: route.isOpen || configuration.workspaces.size === 0 }
}

const intersect = (a: readonly RegionId[], b: readonly RegionId[]): readonly RegionId[] | 'none' => {
  if (a.length === 0) return b
  if (b.length === 0) return a
  const both = a.filter(region => b.includes(region))
  return both.length === 0 ? 'none' : both
}

const serviceBounds = (service: Service, request: RequestReceived): Bounds => ({
  route: null,
  idempotent: IDEMPOTENT_METHODS.has(request.method),
  timeoutMs: service.timeoutMs,
  targetMs: service.timeoutMs,
  attemptsAllowed: MOST_ATTEMPTS,
  rank: 0,
  isFirstRank: true,
  allowedRegions: [],
  affinity: request.affinity
})

/** The bounds of a request at its destination; a reason when it may run nowhere. */
export const findConstraints = (configuration: Configuration, { service, route }: Destination, workspace: Workspace | null, request: RequestReceived): Bounds | RefusalReason => {
  if (route === null) return serviceBounds(service, request)
  const allowedRegions = intersect(route.allowedRegions, workspace?.allowedRegions ?? [])
  if (allowedRegions === 'none') return 'no-region'
  return {
    route: route.route,
    idempotent: route.repetition === 'idempotent',
    timeoutMs: route.timeoutMs,
    targetMs: route.targetMs,
    attemptsAllowed: route.attempts,
    rank: (workspace?.rank ?? 0) * ROUTE_RANKS + route.rank,
    isFirstRank: configuration.routes.isFirstRank(service.service, route.rank),
    allowedRegions,
    affinity: route.hasAffinity ? request.affinity : null
  }
}

/** Resolves the service and the route of a request, and the constraints on its handling. */

import type { RegionId, RouteId } from '../core/id.js'
import type { Random } from '../core/random.js'
import type { Millis } from '../core/tick.js'
import type { Configuration } from '../configuration/configurationTables.js'
import type { Service, Workspace } from '../configuration/types.js'
import type { Route, SplitPart } from '../plan/types.js'
import type { RefusalReason, RequestReceived, RequestTarget } from './types.js'

/** Maximum attempts of a request that addresses a service directly instead of a route. */
export const MAX_SERVICE_ATTEMPTS = 4
/** Route ranks within one workspace rank. The workspace's rank takes precedence over the route's. */
const ROUTE_RANKS_PER_WORKSPACE_RANK = 100

/** The service that a request goes to, and the route by which it was found. */
export interface Destination {
  readonly service: Service
  readonly route: Route | null
  /** Whether no API key is required. */
  readonly isOpen: boolean
}

/** Constraints on the handling of a request. All but the timeout are copied to its exchange. */
export interface RequestConstraints {
  readonly route: RouteId | null
  readonly idempotent: boolean
  readonly timeoutMs: Millis
  readonly targetMs: Millis
  readonly attemptsAllowed: number
  readonly rank: number
  readonly routeRank: number
  readonly allowedRegions: readonly RegionId[]
  readonly affinity: string | null
}

const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE'])

/** Picks one part of a split at random, in proportion to the weights. */
export const pickSplitPart = (split: readonly SplitPart[], random: Random): SplitPart | undefined => {
  const first = split[0]
  if (split.length <= 1) return first
  let totalWeight = 0
  for (const part of split) totalWeight += part.weight
  let remaining = random.unit() * totalWeight
  for (const part of split) {
    remaining -= part.weight
    if (remaining < 0) return part
  }
  return first
}

const isOpenPath = (service: Service, path: string): boolean => {
  const pathname = path.split('?', 1)[0] ?? path
  return service.openPaths.includes(pathname)
}

/** Whether the configuration has the service or authority that a request addresses. */
export const isConfigured = ({ services, routes }: Pick<Configuration, 'services' | 'routes'>, target: RequestTarget): boolean =>
  target.kind === 'service' ? services.has(target.service) : routes.has(target.authority)

/** Returns the destination of a request, or the refusal reason if there is none. */
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
  // Without any configured workspace no keys exist, so none is required.
  return { service, route, isOpen: route.isOpen || configuration.workspaces.size === 0 }
}

const intersect = (a: readonly RegionId[], b: readonly RegionId[]): readonly RegionId[] | 'none' => {
  if (a.length === 0) return b
  if (b.length === 0) return a
  const common = a.filter(region => b.includes(region))
  return common.length === 0 ? 'none' : common
}

const serviceConstraints = (service: Service, request: RequestReceived): RequestConstraints => ({
  route: null,
  idempotent: IDEMPOTENT_METHODS.has(request.method),
  timeoutMs: service.timeoutMs,
  targetMs: service.timeoutMs,
  attemptsAllowed: MAX_SERVICE_ATTEMPTS,
  rank: 0,
  routeRank: 0,
  allowedRegions: [],
  affinity: request.affinity
})

/** Returns the constraints on a request at its destination, or the refusal reason if no region may run it. */
export const findConstraints = ({ service, route }: Destination, workspace: Workspace | null, request: RequestReceived): RequestConstraints | RefusalReason => {
  if (route === null) return serviceConstraints(service, request)
  const allowedRegions = intersect(route.allowedRegions, workspace?.allowedRegions ?? [])
  if (allowedRegions === 'none') return 'no-region'
  return {
    route: route.route,
    idempotent: route.repetition === 'idempotent',
    timeoutMs: route.timeoutMs,
    targetMs: route.targetMs,
    attemptsAllowed: route.attempts,
    rank: (workspace?.rank ?? 0) * ROUTE_RANKS_PER_WORKSPACE_RANK + route.rank,
    routeRank: route.rank,
    allowedRegions,
    affinity: route.hasAffinity ? request.affinity : null
  }
}

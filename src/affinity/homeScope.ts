/**
 * Chooses whether the servers of a zone or of a whole region share the objects of a route. With few requests for each object, a
 * home in each zone would make most of them first reads, which take several times longer than the way to another zone.
 */

import { RowTable } from '../core/table.js'
import { remainingFraction } from '../core/decay.js'
import type { Millis } from '../core/tick.js'
import type { MembershipTables } from '../membership/types.js'
import type { WorkEstimate } from '../backend-choice/types.js'
import type { AffinityTables, HomeScope, ObjectDemandRow } from './types.js'

type HomeScopeTables = AffinityTables & Pick<MembershipTables, 'members' | 'gossip'>

/** Time within which a second request for an object finds it cached, and over which repeats are averaged. */
const REPEAT_WINDOW_MS: Millis = 20_000
/** Objects of a route whose last request is remembered. */
const MAX_REMEMBERED_OBJECTS = 1_024
/** Requests and repeats assumed before any was seen. */
const PRIOR_REQUESTS = 10
const PRIOR_REPEATS = 0.5
/** Extra latency of a server in another zone of the region. */
const CROSS_ZONE_COST_MS: Millis = 20
/** Latency that a region's homes must save before a route changes to them; the change costs a first read of each object. */
const CHANGE_GAIN_MS: Millis = 40
const DECISION_INTERVAL_MS: Millis = 1_000

/** Creates an empty table of object demand. */
export const createObjectDemand = (): AffinityTables['objectDemand'] => new RowTable<string, ObjectDemandRow>(row => row.route)

const findDemand = (tables: AffinityTables, route: string, now: Millis): ObjectDemandRow => {
  let row = tables.objectDemand.get(route)
  if (row === undefined) {
    row = { route, seenAt: new Map(), requests: 0, repeats: 0, updatedAt: now, scope: 'zone', decidedAt: Number.NEGATIVE_INFINITY }
    tables.objectDemand.put(row)
  }
  return row
}

/** Counts a request for an object, and whether this host has seen another one for it lately. */
export const countObjectRequest = (tables: AffinityTables, route: string, object: string, now: Millis): void => {
  const row = findDemand(tables, route, now)
  const remaining = remainingFraction(now - row.updatedAt, REPEAT_WINDOW_MS)
  const lastSeenAt = row.seenAt.get(object)
  const isRepeat = lastSeenAt !== undefined && now - lastSeenAt < REPEAT_WINDOW_MS
  row.requests = row.requests * remaining + 1
  row.repeats = row.repeats * remaining + (isRepeat ? 1 : 0)
  row.updatedAt = now
  row.seenAt.delete(object)
  row.seenAt.set(object, now)
  for (const [oldest, seenAt] of row.seenAt) {
    if (row.seenAt.size <= MAX_REMEMBERED_OBJECTS && now - seenAt < REPEAT_WINDOW_MS) return
    row.seenAt.delete(oldest)
  }
}

// The chance that an object was requested within the window, from this host's own repeats and the number of hosts that share a home.
const hitChance = ({ requests, repeats }: ObjectDemandRow, hosts: number): number => {
  const ownChance = (repeats + PRIOR_REPEATS) / (requests + PRIOR_REQUESTS)
  const requestsAtHome = hosts * ownChance / (1 - Math.min(ownChance, 0.99))
  return requestsAtHome / (1 + requestsAtHome)
}

const countEntryHostsNear = ({ members, gossip }: HomeScopeTables): { readonly zone: number, readonly region: number } => {
  const count = { zone: 0, region: 0 }
  for (const { member } of members.rows()) {
    if (member.role !== 'entry' || member.state === 'dead' || member.region !== gossip.self.region) continue
    count.region += 1
    if (member.zone === gossip.self.zone) count.zone += 1
  }
  return count
}

const decide = (tables: HomeScopeTables, row: ObjectDemandRow, { warmMs, coldMs }: WorkEstimate): HomeScope => {
  const hosts = countEntryHostsNear(tables)
  const savedMs = coldMs - warmMs
  const gainMs = (hitChance(row, hosts.region) - hitChance(row, hosts.zone)) * savedMs - CROSS_ZONE_COST_MS
  if (row.scope === 'region') return gainMs < 0 ? 'zone' : 'region'
  return gainMs > CHANGE_GAIN_MS ? 'region' : 'zone'
}

/** Decides whether the objects of a route have their homes in each zone or once in the region. */
export interface HomePolicy {
  readonly name: string
  scopeOf (tables: HomeScopeTables, route: string, work: WorkEstimate, now: Millis): HomeScope
}

/** Decides from this host's own requests, at most once a second for a route. */
export class LearnedHomes implements HomePolicy {
  readonly name = 'learned'

  scopeOf (tables: HomeScopeTables, route: string, work: WorkEstimate, now: Millis): HomeScope {
    const row = findDemand(tables, route, now)
    if (now - row.decidedAt >= DECISION_INTERVAL_MS) {
      row.decidedAt = now
      row.scope = decide(tables, row, work)
    }
    return row.scope
  }
}

/** Baseline: the same scope for all routes. */
export class FixedHomes implements HomePolicy {
  constructor (readonly scope: HomeScope) {}

  get name (): string { return this.scope }

  scopeOf (): HomeScope { return this.scope }
}

/** Answers look-ups. Entry hosts are ranked by distance for each service and site. */

import type { RegionId, ServiceId, SiteId } from '../core/id.js'
import type { Random } from '../core/random.js'
import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import { findApprovedTerms } from '../configuration/configurationTables.js'
import type { ProfileTerms } from '../plan/types.js'
import type { Configuration } from '../configuration/configurationTables.js'
import type { Member, MembershipTables } from '../membership/types.js'
import { findShiftAccount, findAllowedPlacements } from '../shift/shiftAccount.js'
import type { ShiftTables } from '../shift/types.js'
import type { BlockTable } from './blockTable.js'
import { isServingEntry } from '../membership/entryHosts.js'
import type { LookupAnswered, LookupError, LookupReceived, Place, RankedHost, SiteLocation } from './types.js'

/** Maximum number of entry hosts in an answer by service. */
export const MAX_ANSWER_HOSTS = 4
/** How long a caller may cache an answer. A stopping host keeps serving for at least this long. */
export const ANSWER_TTL_MS: Millis = 2_000

/** Maximum number of entry hosts in an answer by place. */
export const MAX_PLACE_ANSWER_HOSTS = 64
/** How long a caller may cache an answer by place. Some callers use it for three times as long. */
export const PLACE_ANSWER_TTL_MS: Millis = 1_000

export interface LookupTables extends Pick<MembershipTables, 'members' | 'gossip'>, ShiftTables {
  readonly configuration: Configuration
  readonly blocks: BlockTable
  readonly rankings: RankingCache
}

type LookupInput = LookupReceived | { readonly kind: 'other' }

/** Entry hosts of the caller's region in tiers of equal distance, nearest first, and the allowed entry hosts of other regions. */
interface Ranking {
  readonly nearTiers: ReadonlyArray<readonly RankedHost[]>
  readonly farHosts: readonly RankedHost[]
  readonly farTiers: ReadonlyArray<readonly RankedHost[]>
}

const distanceTier = (member: Member, origin: SiteLocation): number => {
  if (member.site === origin.site && member.zone === origin.zone) return 0
  return member.zone === origin.zone ? 1 : 2
}

const NEAR_TIER_COUNT = 3

const rankHosts = (members: Iterable<{ member: Member }>, origin: SiteLocation, allowedRegions: readonly RegionId[]): Ranking => {
  const tiers: RankedHost[][] = Array.from({ length: NEAR_TIER_COUNT }, () => [])
  const farHosts: RankedHost[] = []
  for (const { member } of members) {
    if (member.role !== 'entry' || member.callers === null || member.state !== 'alive') continue
    const ranked: RankedHost = { host: member.host, region: member.region, zone: member.zone, callers: member.callers }
    if (member.region === origin.region) tiers[distanceTier(member, origin)]?.push(ranked)
    else if (allowedRegions.length === 0 || allowedRegions.includes(member.region)) farHosts.push(ranked)
  }
  return { nearTiers: tiers.filter(tier => tier.length > 0), farHosts, farTiers: [farHosts] }
}

/** The terms and rankings of one service. */
interface ServiceRankings {
  readonly terms: ProfileTerms
  /** Subject of the shift account that counts the service's look-ups. */
  readonly subject: string
  readonly bySite: Map<SiteId, Ranking>
}

/** Caches rankings by service and site until the membership or the configuration changes. */
export class RankingCache {
  #membersRevision = -1
  #configurationIndex = -1
  readonly #byService = new Map<ServiceId, ServiceRankings>()

  /** Returns the rankings of a service, or null when the service has no approved terms. */
  service (tables: LookupTables, service: ServiceId): ServiceRankings | null {
    const { members, configuration } = tables
    if (members.revision !== this.#membersRevision || configuration.index !== this.#configurationIndex) {
      this.#byService.clear()
      this.#membersRevision = members.revision
      this.#configurationIndex = configuration.index
    }
    const cached = this.#byService.get(service)
    if (cached !== undefined) return cached
    const terms = findApprovedTerms(configuration, service)
    if (terms === null) return null
    const created: ServiceRankings = { terms, subject: `lookup/${service}`, bySite: new Map() }
    this.#byService.set(service, created)
    return created
  }

  /** Returns the ranking for callers of a site. Uses this host's own site when the caller's is unknown. */
  ranking (tables: LookupTables, rankings: ServiceRankings, site: SiteId | null): Ranking {
    const originSite = site ?? tables.gossip.self.site
    let ranking = rankings.bySite.get(originSite)
    if (ranking === undefined) {
      ranking = rankHosts(tables.members.rows(), findSiteLocation(tables, originSite), rankings.terms.allowedRegions)
      rankings.bySite.set(originSite, ranking)
    }
    return ranking
  }
}

// Returns the location of a site. Falls back to this host's location for a site without entry hosts.
const findSiteLocation = (tables: LookupTables, site: SiteId): SiteLocation => {
  for (const row of tables.configuration.entryHosts.rows()) {
    if (row.site === site) return row
  }
  return tables.gossip.self
}

// Starts each tier at a random host, to balance callers over hosts at the same distance.
const chooseHosts = (tiers: ReadonlyArray<readonly RankedHost[]>, random: Random): RankedHost[] => {
  const chosen: RankedHost[] = []
  for (const tier of tiers) {
    const first = random.below(tier.length)
    for (let step = 0; step < tier.length; step += 1) {
      const host = tier[(first + step) % tier.length]
      if (host !== undefined) chosen.push(host)
      if (chosen.length >= MAX_ANSWER_HOSTS) return chosen
    }
  }
  return chosen
}

/** Returns entry hosts in this host's region for a service. Does not count towards a shift. */
export const nearEntryHosts = (tables: LookupTables, random: Random, service: ServiceId): RankedHost[] => {
  const rankings = tables.rankings.service(tables, service)
  return rankings === null ? [] : chooseHosts(tables.rankings.ranking(tables, rankings, null).nearTiers, random)
}

// Selects the host tiers for a look-up and counts it in the shift account. Sending callers to another region and returning them
// are both shifts, and the cap limits both.
const selectTiers = (tables: LookupTables, rankings: ServiceRankings, ranking: Ranking, now: Millis): ReadonlyArray<readonly RankedHost[]> | LookupError => {
  const { nearTiers, farHosts, farTiers } = ranking
  if (nearTiers.length === 0 && farHosts.length === 0) return { kind: 'no-entry-host' }
  const account = findShiftAccount(tables, rankings.subject, rankings.terms.shiftWindowMs, now)
  account.total += 1
  const { isHomeAllowed, isAwayAllowed } = findAllowedPlacements(account, rankings.terms)
  if (nearTiers.length > 0 && (isHomeAllowed || farHosts.length === 0)) {
    account.home += 1
    return nearTiers
  }
  if (!isAwayAllowed || farHosts.length === 0) return { kind: 'shift-capped' }
  account.away += 1
  return farTiers
}

const rejectLookup = (tables: LookupTables, query: LookupReceived, error: LookupError): LookupAnswered =>
  ({ kind: 'lookup-answer', lookup: query.lookup, hosts: [], ttlMs: ANSWER_TTL_MS, ticketZone: tables.gossip.self.zone, error })

const isInZone = (place: Place, host: RankedHost): boolean => host.zone === place.zone

/** Removes and returns up to `limit` random hosts. */
const drawHosts = (random: Random, hosts: RankedHost[], limit: number): RankedHost[] => {
  const drawn: RankedHost[] = []
  while (drawn.length < limit && hosts.length > 0) drawn.push(...hosts.splice(random.below(hosts.length), 1))
  return drawn
}

// Returns the entry hosts of the caller's zone, filled up with hosts of its region to an even share of the region's hosts,
// because a zone with few hosts may have as many callers as any other. Returns all hosts when the region has none.
const hostsNearPlace = (place: Place, hosts: readonly RankedHost[], random: Random): readonly RankedHost[] => {
  const inRegion = hosts.filter(host => host.region === place.region)
  if (inRegion.length === 0) return hosts
  const inZone = inRegion.filter(host => isInZone(place, host))
  const zones = new Set(inRegion.map(host => host.zone)).add(place.zone)
  const evenShare = Math.ceil(inRegion.length / zones.size)
  if (inZone.length >= evenShare) return inZone
  return [...inZone, ...drawHosts(random, inRegion.filter(host => !isInZone(place, host)), evenShare - inZone.length)]
}

const answerByPlace = (tables: LookupTables, random: Random, query: LookupReceived): LookupAnswered => {
  const serving: RankedHost[] = []
  for (const { member } of tables.members.rows()) {
    if (!isServingEntry(member) || member.callers === null) continue
    serving.push({ host: member.host, region: member.region, zone: member.zone, callers: member.callers })
  }
  const { region, zone } = query.place ?? tables.gossip.self
  const near = hostsNearPlace({ region, zone }, serving, random)
  if (near.length === 0 || tables.configuration.index === 0) return rejectLookup(tables, query, { kind: 'no-entry-host' })
  const first = random.below(near.length)
  const hosts = [...near.slice(first), ...near.slice(0, first)].slice(0, MAX_PLACE_ANSWER_HOSTS)
  return { kind: 'lookup-answer', lookup: query.lookup, hosts, ttlMs: PLACE_ANSWER_TTL_MS, ticketZone: zone, error: null }
}

/** Answers one look-up, and counts it in the service's shift account unless it is by place. */
export const answerLookup = (tables: LookupTables, random: Random, query: LookupReceived, now: Millis): LookupAnswered => {
  if (query.service === null) return answerByPlace(tables, random, query)
  const rankings = tables.rankings.service(tables, query.service)
  if (rankings === null) return rejectLookup(tables, query, { kind: 'service-unknown', service: query.service })
  const site = query.client === null ? null : tables.blocks.siteOf(query.client)
  const tiers = selectTiers(tables, rankings, tables.rankings.ranking(tables, rankings, site), now)
  if ('kind' in tiers) return rejectLookup(tables, query, tiers)
  const hosts = chooseHosts(tiers, random)
  return { kind: 'lookup-answer', lookup: query.lookup, hosts, ttlMs: ANSWER_TTL_MS, ticketZone: hosts[0]?.zone ?? tables.gossip.self.zone, error: null }
}

export class LookupSystem implements System<LookupTables, LookupInput, LookupAnswered> {
  readonly name = 'lookup'

  run (tick: Tick<LookupTables, LookupInput, LookupAnswered>): void {
    for (const row of tick.inbox) {
      if (row.kind === 'lookup') tick.emit(answerLookup(tick.tables, tick.random, row, tick.now))
    }
  }

  deadline (): Millis { return NEVER }
}

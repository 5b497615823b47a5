/** Answers look-ups from a ranking of entry hosts for each service and site. */

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

/** Entry hosts in one answer. */
export const MAX_ANSWER_HOSTS = 4
/** How long a caller may use an answer; a stopping host goes on serving for this long. */
export const ANSWER_TTL_MS: Millis = 2_000

/** Entry hosts in an answer by place. */
export const MAX_PLACE_ANSWER_HOSTS = 64
/** How long an answer by place may be used; some callers go on for three times as long. */
export const PLACE_ANSWER_TTL_MS: Millis = 1_000

/** Tables that look-ups read. */
export interface LookupTables extends Pick<MembershipTables, 'members' | 'gossip'>, ShiftTables {
  readonly configuration: Configuration
  readonly blocks: BlockTable
  readonly rankings: RankingCache
}

type LookupInput = LookupReceived | { readonly kind: 'other' }

/** Entry hosts of the client's region in tiers of equal distance, nearest first, and those of other regions. */
interface Ranking {
  readonly nearTiers: ReadonlyArray<readonly RankedHost[]>
  readonly farHosts: readonly RankedHost[]
  readonly farTiers: ReadonlyArray<readonly RankedHost[]>
}

const distanceTier = (member: Member, near: SiteLocation): number => {
  if (member.site === near.site && member.zone === near.zone) return 0
  return member.zone === near.zone ? 1 : 2
}

const NEAR_TIER_COUNT = 3

const rankHosts = (members: Iterable<{ member: Member }>, near: SiteLocation, allowed: readonly RegionId[]): Ranking => {
  const tiers: RankedHost[][] = Array.from({ length: NEAR_TIER_COUNT }, () => [])
  const far: RankedHost[] = []
  for (const { member } of members) {
    if (member.role !== 'entry' || member.callers === null || member.state !== 'alive') continue
    const ranked: RankedHost = { host: member.host, region: member.region, zone: member.zone, callers: member.callers }
    if (member.region === near.region) tiers[distanceTier(member, near)]?.push(ranked)
    else if (allowed.length === 0 || allowed.includes(member.region)) far.push(ranked)
  }
  return { nearTiers: tiers.filter(tier => tier.length > 0), farHosts: far, farTiers: [far] }
}

/** What look-ups need of one service. */
interface ServiceRankings {
  readonly terms: ProfileTerms
  /** The name of its look-ups in the shift accounts. */
  readonly subject: string
  readonly bySite: Map<SiteId, Ranking>
}

/** Rankings by service and site, dropped when members or configuration change. */
export class RankingCache {
  #members = -1
  #index = -1
  readonly #byService = new Map<ServiceId, ServiceRankings>()

  /** What is known of a service; null when it has no approved terms. */
  service (tables: LookupTables, service: ServiceId): ServiceRankings | null {
    const { members, configuration } = tables
    if (members.revision !== this.#members || configuration.index !== this.#index) {
      this.#byService.clear()
      this.#members = members.revision
      this.#index = configuration.index
    }
    const known = this.#byService.get(service)
    if (known !== undefined) return known
    const terms = findApprovedTerms(configuration, service)
    if (terms === null) return null
    const made: ServiceRankings = { terms, subject: `lookup/${service}`, bySite: new Map() }
    this.#byService.set(service, made)
    return made
  }

  /** The ranking for clients of a site; without a site, for those that stand where this host stands. */
  ranking (tables: LookupTables, rankings: ServiceRankings, site: SiteId | null): Ranking {
    const near = site ?? tables.gossip.self.site
    let ranking = rankings.bySite.get(near)
    if (ranking === undefined) {
      ranking = rankHosts(tables.members.rows(), findSiteLocation(tables, near), rankings.terms.allowedRegions)
      rankings.bySite.set(near, ranking)
    }
    return ranking
  }
}

// A site without entry hosts of its own is served as if the client stood where this host stands.
const findSiteLocation = (tables: LookupTables, site: SiteId): SiteLocation => {
  for (const row of tables.configuration.entryHosts.rows()) {
    if (row.site === site) return row
  }
  return tables.gossip.self
}

// Each tier starts at a random host so that callers spread over equals.
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

/** Entry hosts for a service near this host, without asking for a shift. */
export const nearEntryHosts = (tables: LookupTables, random: Random, service: ServiceId): RankedHost[] => {
  const rankings = tables.rankings.service(tables, service)
  return rankings === null ? [] : chooseHosts(tables.rankings.ranking(tables, rankings, null).nearTiers, random)
}

// Sending callers to another region is a shift too, and so is calling them back.
const selectTiers = (tables: LookupTables, rankings: ServiceRankings, ranking: Ranking, now: Millis): ReadonlyArray<readonly RankedHost[]> | LookupError => {
  const { nearTiers: near, farHosts: far, farTiers: farTier } = ranking
  if (near.length === 0 && far.length === 0) return { kind: 'no-entry-host' }
  const account = findShiftAccount(tables, rankings.subject, rankings.terms.shiftWindowMs, now)
  account.total += 1
  const { isHomeOpen, isAwayOpen } = findAllowedPlacements(account, rankings.terms)
  if (near.length > 0 && (isHomeOpen || far.length === 0)) {
    account.home += 1
    return near
  }
  if (!isAwayOpen || far.length === 0) return { kind: 'shift-capped' }
  account.away += 1
  return farTier
}

const rejectLookup = (tables: LookupTables, question: LookupReceived, error: LookupError): LookupAnswered =>
  ({ kind: 'lookup-answer', lookup: question.lookup, hosts: [], ttlMs: ANSWER_TTL_MS, ticketZone: tables.gossip.self.zone, error })

const isInZone = (place: Place, host: RankedHost): boolean => host.zone === place.zone

/** Draws hosts without repetition. */
const drawHosts = (random: Random, hosts: RankedHost[], most: number): RankedHost[] => {
  const drawn: RankedHost[] = []
  while (drawn.length < most && hosts.length > 0) drawn.push(...hosts.splice(random.below(hosts.length), 1))
  return drawn
}

// Entry hosts of the caller's own zone, filled up from its region to an even part of the region's hosts: a zone with few
// hosts has as many callers as its neighbour. Without any in the region, those that are left.
const hostsNearPlace = (place: Place, hosts: readonly RankedHost[], random: Random): readonly RankedHost[] => {
  const inRegion = hosts.filter(host => host.region === place.region)
  if (inRegion.length === 0) return hosts
  const inZone = inRegion.filter(host => isInZone(place, host))
  const zones = new Set(inRegion.map(host => host.zone)).add(place.zone)
  const evenPart = Math.ceil(inRegion.length / zones.size)
  if (inZone.length >= evenPart) return inZone
  return [...inZone, ...drawHosts(random, inRegion.filter(host => !isInZone(place, host)), evenPart - inZone.length)]
}

const answerByPlace = (tables: LookupTables, random: Random, question: LookupReceived): LookupAnswered => {
  const serving: RankedHost[] = []
  for (const { member } of tables.members.rows()) {
    if (!isServingEntry(member) || member.callers === null) continue
    serving.push({ host: member.host, region: member.region, zone: member.zone, callers: member.callers })
  }
  const { region, zone } = question.place ?? tables.gossip.self
  const near = hostsNearPlace({ region, zone }, serving, random)
  if (near.length === 0 || tables.configuration.index === 0) return rejectLookup(tables, question, { kind: 'no-entry-host' })
  const first = random.below(near.length)
  const hosts = [...near.slice(first), ...near.slice(0, first)].slice(0, MAX_PLACE_ANSWER_HOSTS)
  return { kind: 'lookup-answer', lookup: question.lookup, hosts, ttlMs: PLACE_ANSWER_TTL_MS, ticketZone: zone, error: null }
}

/** Decides one look-up. */
export const answerLookup = (tables: LookupTables, random: Random, question: LookupReceived, now: Millis): LookupAnswered => {
  if (question.service === null) return answerByPlace(tables, random, question)
  const rankings = tables.rankings.service(tables, question.service)
  if (rankings === null) return rejectLookup(tables, question, { kind: 'service-unknown', service: question.service })
  const site = question.client === null ? null : tables.blocks.siteOf(question.client)
  const placed = selectTiers(tables, rankings, tables.rankings.ranking(tables, rankings, site), now)
  if ('kind' in placed) return rejectLookup(tables, question, placed)
  const hosts = chooseHosts(placed, random)
  return { kind: 'lookup-answer', lookup: question.lookup, hosts, ttlMs: ANSWER_TTL_MS, ticketZone: hosts[0]?.zone ?? tables.gossip.self.zone, error: null }
}

/** The system of look-ups. */
export class LookupSystem implements System<LookupTables, LookupInput, LookupAnswered> {
  readonly name = 'lookup'

  run (tick: Tick<LookupTables, LookupInput, LookupAnswered>): void {
    for (const row of tick.inbox) {
      if (row.kind === 'lookup') tick.emit(answerLookup(tick.tables, tick.random, row, tick.now))
    }
  }

  deadline (): Millis { return NEVER }
}

/** Answers look-ups from a ranking of entry hosts for each service and site. */

import type { RegionId, ServiceId, SiteId } from '../core/id.js'
import type { Random } from '../core/random.js'
import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import { findTerms } from '../configuration/configurationTables.js'
import type { ProfileTerms } from '../plan/types.js'
import type { Configuration } from '../configuration/configurationTables.js'
import type { Member, MembershipTables } from '../membership/types.js'
import { findShiftAccount, findAllowedPlacements } from '../shift/shiftAccount.js'
import type { ShiftTables } from '../shift/types.js'
import type { BlockTable } from './blockTable.js'
import { isServingEntry } from '../membership/entryHosts.js'
import type { LookupAnswered, LookupError, LookupReceived, Place, RankedHost, Site } from './types.js'

/** Entry hosts in one answer. */
export const ANSWER_HOSTS = 4
/** How long a caller may use an answer; a stopping host goes on serving for this long. */
export const ANSWER_TTL: Millis = 2_000

/** Entry hosts in an answer by place. */
export const LOCATED_HOSTS = 64
/** How long an answer by place may be used; some callers go on for three times as long. */
export const LOCATED_TTL: Millis = 1_000

/** Tables that look-ups read. */
export interface LookupTables extends Pick<MembershipTables, 'members' | 'gossip'>, ShiftTables {
  readonly configuration: Configuration
  readonly blocks: BlockTable
  readonly rankings: RankingCache
}

type LookupInput = LookupReceived | { readonly kind: 'other' }

/** Entry hosts of the client's region in tiers of equal distance, nearest first, and those of other regions. */
interface Ranking {
  readonly near: ReadonlyArray<readonly RankedHost[]>
  readonly far: readonly RankedHost[]
  readonly farTier: ReadonlyArray<readonly RankedHost[]>
}

const tierOf = (member: Member, near: Site): number => {
  if (member.site === near.site && member.zone === near.zone) return 0
  return member.zone === near.zone ? 1 : 2
}

const NEAR_TIERS = 3

const rank = (members: Iterable<{ member: Member }>, near: Site, allowed: readonly RegionId[]): Ranking => {
  const tiers: RankedHost[][] = Array.from({ length: NEAR_TIERS }, () => [])
  const far: RankedHost[] = []
  for (const { member } of members) {
    if (member.role !== 'entry' || member.callers === null || member.state !== 'alive') continue
    const ranked: RankedHost = { host: member.host, region: member.region, zone: member.zone, callers: member.callers }
    if (member.region === near.region) tiers[tierOf(member, near)]?.push(ranked)
    else if (allowed.length === 0 || allowed.includes(member.region)) far.push(ranked)
  }
  return { near: tiers.filter(tier => tier.length > 0), far, farTier: [far] }
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
    const terms = findTerms(configuration, service)
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
      ranking = rank(tables.members.rows(), locate(tables, near), rankings.terms.allowedRegions)
      rankings.bySite.set(near, ranking)
    }
    return ranking
  }
}

// A site without entry hosts of its own is served as if the client stood where this host stands.
const locate = (tables: LookupTables, site: SiteId): Site => {
  for (const row of tables.configuration.entryHosts.rows()) {
    if (row.site === site) return row
  }
  return tables.gossip.self
}

// Each tier starts at a random host so that callers spread over equals.
const choose = (tiers: ReadonlyArray<readonly RankedHost[]>, random: Random): RankedHost[] => {
  const chosen: RankedHost[] = []
  for (const tier of tiers) {
    const first = random.below(tier.length)
    for (let step = 0; step < tier.length; step += 1) {
      const host = tier[(first + step) % tier.length]
      if (host !== undefined) chosen.push(host)
      if (chosen.length >= ANSWER_HOSTS) return chosen
    }
  }
  return chosen
}

/** Entry hosts for a service near this host, without asking for a shift. */
export const nearHosts = (tables: LookupTables, random: Random, service: ServiceId): RankedHost[] => {
  const rankings = tables.rankings.service(tables, service)
  return rankings === null ? [] : choose(tables.rankings.ranking(tables, rankings, null).near, random)
}

// Sending callers to another region is a shift too, and so is calling them back.
const place = (tables: LookupTables, rankings: ServiceRankings, ranking: Ranking, now: Millis): ReadonlyArray<readonly RankedHost[]> | LookupError => {
  const { near, far, farTier } = ranking
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

const refuse = (tables: LookupTables, question: LookupReceived, error: LookupError): LookupAnswered =>
  ({ kind: 'lookup-answer', lookup: question.lookup, hosts: [], ttlMs: ANSWER_TTL, ticketZone: tables.gossip.self.zone, error })

const isNear = (place: Place, host: RankedHost): boolean => host.zone === place.zone

/** Draws hosts without repetition. */
const draw = (random: Random, hosts: RankedHost[], most: number): RankedHost[] => {
  const drawn: RankedHost[] = []
  while (drawn.length < most && hosts.length > 0) drawn.push(...hosts.splice(random.below(hosts.length), 1))
  return drawn
}

// Entry hosts of the caller's own zone, filled up from its region to an even part of the region's hosts: a zone with few
// hosts has as many callers as its neighbour. Without any in the region, those that are left.
const nearestTo = (place: Place, hosts: readonly RankedHost[], random: Random): readonly RankedHost[] => {
  const inRegion = hosts.filter(host => host.region === place.region)
  if (inRegion.length === 0) return hosts
  const inZone = inRegion.filter(host => isNear(place, host))
  const zones = new Set(inRegion.map(host => host.zone)).add(place.zone)
  const evenPart = Math.ceil(inRegion.length / zones.size)
  if (inZone.length >= evenPart) return inZone
  return [...inZone, ...draw(random, inRegion.filter(host => !isNear(place, host)), evenPart - inZone.length)]
}

const locateHosts = (tables: LookupTables, random: Random, question: LookupReceived): LookupAnswered => {
  const serving: RankedHost[] = []
  for (const { member } of tables.members.rows()) {
    if (!isServingEntry(member) || member.callers === null) continue
    serving.push({ host: member.host, region: member.region, zone: member.zone, callers: member.callers })
  }
  const { region, zone } = question.place ?? tables.gossip.self
  const near = nearestTo({ region, zone }, serving, random)
  if (near.length === 0 || tables.configuration.index === 0) return refuse(tables, question, { kind: 'no-entry-host' })
  const first = random.below(near.length)
  const hosts = [...near.slice(first), ...near.slice(0, first)].slice(0, LOCATED_HOSTS)
  return { kind: 'lookup-answer', lookup: question.lookup, hosts, ttlMs: LOCATED_TTL, ticketZone: zone, error: null }
}

/** Decides one look-up. */
export const answerLookup = (tables: LookupTables, random: Random, question: LookupReceived, now: Millis): LookupAnswered => {
  if (question.service === null) return locateHosts(tables, random, question)
  const rankings = tables.rankings.service(tables, question.service)
  if (rankings === null) return refuse(tables, question, { kind: 'service-unknown', service: question.service })
  const site = question.client === null ? null : tables.blocks.siteOf(question.client)
  const placed = place(tables, rankings, tables.rankings.ranking(tables, rankings, site), now)
  if ('kind' in placed) return refuse(tables, question, placed)
  const hosts = choose(placed, random)
  return { kind: 'lookup-answer', lookup: question.lookup, hosts, ttlMs: ANSWER_TTL, ticketZone: hosts[0]?.zone ?? tables.gossip.self.zone, error: null }
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

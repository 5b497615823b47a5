/** Divides the rate limit of each workspace among the entry hosts. Every host computes the same shares without coordination. */

import type { HostId, RegionId, WorkspaceId, ZoneId } from '../core/id.js'
import { NO_TOLERANCE, withHeadroom } from './allowanceHeadroom.js'
import { rendezvousWeight } from '../core/rendezvous.js'
import { ALLOWANCE_PARTS } from '../configuration/types.js'
import type { Configuration } from '../configuration/configurationTables.js'
import type { Workspace } from '../configuration/types.js'
import type { MembershipTables } from '../membership/types.js'
import type { AllowanceShare, AllowanceTolerance } from './allowanceShare.js'

/** Minimum rate of one share, in requests per second. A bucket with a smaller rate would often hold less than one token. */
const MIN_RATE_PER_HOLDER = 8
/** Rate of a zone's share, in requests per second, below which its region holds the share. */
const MIN_RATE_PER_ZONE = 2

type PartTables = Pick<MembershipTables, 'members'> & { readonly configuration: Configuration }

interface Division { readonly rate: number, readonly parts: ReadonlyMap<HostId, number> }

// Entry hosts by zone and by region.
interface HostGroups { readonly zones: ReadonlyMap<ZoneId, readonly HostId[]>, readonly regions: ReadonlyMap<RegionId, readonly HostId[]> }

const NO_HOSTS: HostGroups = { zones: new Map(), regions: new Map() }

const push = <K>(groups: Map<K, HostId[]>, key: K, host: HostId): void => {
  const hosts = groups.get(key)
  if (hosts === undefined) groups.set(key, [host])
  else hosts.push(host)
}

// Includes hosts that are marked dead: they may come back at any time and go on using their share.
const groupEntryHosts = (tables: PartTables): HostGroups => {
  const zones = new Map<ZoneId, HostId[]>()
  const regions = new Map<RegionId, HostId[]>()
  for (const { member } of tables.members.rows()) {
    if (member.role !== 'entry') continue
    push(zones, member.zone, member.host)
    push(regions, member.region, member.host)
  }
  return { zones, regions }
}

// Every zone gets an equal share, or every region if a zone's share would rarely hold a whole token. Within the group, the share is
// split over as many hosts as MIN_RATE_PER_HOLDER allows.
const divide = ({ zones, regions }: HostGroups, workspace: WorkspaceId, rate: number): ReadonlyMap<HostId, number> => {
  const groups: ReadonlyMap<string, readonly HostId[]> = rate / zones.size < MIN_RATE_PER_ZONE ? regions : zones
  const parts = new Map<HostId, number>()
  for (const hosts of groups.values()) {
    const holders = Math.max(1, Math.min(hosts.length, Math.floor(rate / groups.size / MIN_RATE_PER_HOLDER)))
    const ranked = hosts.map(host => ({ host, weight: rendezvousWeight(workspace, host) })).sort((a, b) => b.weight - a.weight)
    for (const { host } of ranked.slice(0, holders)) parts.set(host, 1 / groups.size / holders)
  }
  return parts
}

/** Caches the shares of each workspace until the membership changes. */
export class AllowanceParts {
  #revision = -1
  #groups = NO_HOSTS
  readonly #divisions = new Map<WorkspaceId, Division>()

  constructor (readonly tolerance: AllowanceTolerance = NO_TOLERANCE) {}

  /** Returns a host's share of a workspace's rate limit, 0 to 1: the registered parts, or a computed share when no host is registered. */
  partOf (tables: PartTables, { workspace, rate }: Pick<Workspace, 'workspace' | 'rate'>, host: HostId): number {
    const { entryHosts } = tables.configuration
    if (entryHosts.size > 0) return (entryHosts.get(host)?.parts ?? 0) / ALLOWANCE_PARTS
    this.#refresh(tables)
    let division = this.#divisions.get(workspace)
    if (division === undefined || division.rate !== rate) {
      division = { rate, parts: divide(this.#groups, workspace, rate) }
      this.#divisions.set(workspace, division)
    }
    return division.parts.get(host) ?? 0
  }

  /** Returns the rate and burst that a host may grant without borrowing. */
  allowanceOf (tables: PartTables, workspace: Workspace, host: HostId): AllowanceShare {
    const share = this.partOf(tables, workspace, host)
    const { rate, burst } = withHeadroom(workspace, this.tolerance)
    return { rate: rate * share, burst: burst * share }
  }

  #refresh (tables: PartTables): void {
    if (tables.members.revision === this.#revision) return
    this.#revision = tables.members.revision
    this.#groups = groupEntryHosts(tables)
    this.#divisions.clear()
  }
}

/** Divides the rate limit of each workspace among the entry hosts. Every host computes the same shares without coordination. */

import type { HostId, WorkspaceId, ZoneId } from '../core/id.js'
import { rendezvousWeight } from '../core/rendezvous.js'
import { ALLOWANCE_PARTS } from '../configuration/types.js'
import type { Configuration } from '../configuration/configurationTables.js'
import type { Workspace } from '../configuration/types.js'
import type { MembershipTables } from '../membership/types.js'

/** Minimum rate of one share, in requests per second. A bucket with a smaller rate would often hold less than one token. */
const MIN_RATE_PER_HOLDER = 8

type PartTables = Pick<MembershipTables, 'members'> & { readonly configuration: Configuration }

/** A host's share of a workspace's rate and burst. */
export interface AllowanceShare { readonly rate: number, readonly burst: number }

interface Division { readonly rate: number, readonly parts: ReadonlyMap<HostId, number> }

// Includes hosts that are marked dead: they may come back at any time and go on using their share.
const entryHostsByZone = (tables: PartTables): Map<ZoneId, HostId[]> => {
  const zones = new Map<ZoneId, HostId[]>()
  for (const { member } of tables.members.rows()) {
    if (member.role !== 'entry') continue
    const hosts = zones.get(member.zone)
    if (hosts === undefined) zones.set(member.zone, [member.host])
    else hosts.push(member.host)
  }
  return zones
}

// Every zone gets an equal share. Within a zone, the share is split over as many hosts as MIN_RATE_PER_HOLDER allows.
const divide = (zones: ReadonlyMap<ZoneId, readonly HostId[]>, workspace: WorkspaceId, rate: number): ReadonlyMap<HostId, number> => {
  const parts = new Map<HostId, number>()
  for (const hosts of zones.values()) {
    const holders = Math.max(1, Math.min(hosts.length, Math.floor(rate / zones.size / MIN_RATE_PER_HOLDER)))
    const ranked = hosts.map(host => ({ host, weight: rendezvousWeight(workspace, host) })).sort((a, b) => b.weight - a.weight)
    for (const { host } of ranked.slice(0, holders)) parts.set(host, 1 / zones.size / holders)
  }
  return parts
}

/** Caches the shares of each workspace until the membership changes. */
export class AllowanceParts {
  #revision = -1
  #zones: ReadonlyMap<ZoneId, readonly HostId[]> = new Map()
  readonly #divisions = new Map<WorkspaceId, Division>()

  /** Returns a host's share of a workspace's rate limit, 0 to 1: the registered parts, or a computed share when no host is registered. */
  partOf (tables: PartTables, { workspace, rate }: Pick<Workspace, 'workspace' | 'rate'>, host: HostId): number {
    const { entryHosts } = tables.configuration
    if (entryHosts.size > 0) return (entryHosts.get(host)?.parts ?? 0) / ALLOWANCE_PARTS
    this.#refresh(tables)
    let division = this.#divisions.get(workspace)
    if (division === undefined || division.rate !== rate) {
      division = { rate, parts: divide(this.#zones, workspace, rate) }
      this.#divisions.set(workspace, division)
    }
    return division.parts.get(host) ?? 0
  }

  /** Returns the rate and burst that a host may grant without borrowing. */
  allowanceOf (tables: PartTables, workspace: Workspace, host: HostId): AllowanceShare {
    const share = this.partOf(tables, workspace, host)
    return { rate: workspace.rate * share, burst: workspace.burst * share }
  }

  #refresh (tables: PartTables): void {
    if (tables.members.revision === this.#revision) return
    this.#revision = tables.members.revision
    this.#zones = entryHostsByZone(tables)
    this.#divisions.clear()
  }
}

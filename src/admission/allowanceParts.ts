/** Divides every workspace's allowance among entry hosts, in advance and alike on all of them. */

import type { HostId, WorkspaceId, ZoneId } from '../core/id.js'
import { rendezvousWeight } from '../core/rendezvous.js'
import { ALLOWANCE_PARTS } from '../configuration/types.js'
import type { Configuration } from '../configuration/configurationTables.js'
import type { Workspace } from '../configuration/types.js'
import type { MembershipTables } from '../membership/types.js'

/** Requests a second that a holder's part is worth at least; a smaller part would often lack a whole token. */
const MIN_RATE_PER_HOLDER = 8

type PartTables = Pick<MembershipTables, 'members'> & { readonly configuration: Configuration }

/** A host's own part of a workspace's rate and burst. */
export interface AllowanceShare { readonly rate: number, readonly burst: number }

interface Division { readonly rate: number, readonly parts: ReadonlyMap<HostId, number> }

// All known hosts count, dead ones too: they may be back with their part at any moment.
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

// Zones have equal parts, since callers stand in zones. In a zone as many hosts hold a part as it is worth dividing.
const divide = (zones: ReadonlyMap<ZoneId, readonly HostId[]>, workspace: WorkspaceId, rate: number): ReadonlyMap<HostId, number> => {
  const parts = new Map<HostId, number>()
  for (const hosts of zones.values()) {
    const holders = Math.max(1, Math.min(hosts.length, Math.floor(rate / zones.size / MIN_RATE_PER_HOLDER)))
    const ranked = hosts.map(host => ({ host, weight: rendezvousWeight(workspace, host) })).sort((a, b) => b.weight - a.weight)
    for (const { host } of ranked.slice(0, holders)) parts.set(host, 1 / zones.size / holders)
  }
  return parts
}

/** The parts of each workspace, kept while the known hosts stay the same. */
export class AllowanceParts {
  #revision = -1
  #zones: ReadonlyMap<ZoneId, readonly HostId[]> = new Map()
  readonly #divisions = new Map<WorkspaceId, Division>()

  /** A host's part of a workspace's allowance, 0 to 1: as operators registered it, or divided evenly where they registered nobody. */
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

  /** What a host may grant of a workspace's allowance on its own: requests a second, and at once. */
  allowanceOf (tables: PartTables, workspace: Workspace, host: HostId): AllowanceShare {
    const part = this.partOf(tables, workspace, host)
    return { rate: workspace.rate * part, burst: workspace.burst * part }
  }

  #refresh (tables: PartTables): void {
    if (tables.members.revision === this.#revision) return
    this.#revision = tables.members.revision
    this.#zones = entryHostsByZone(tables)
    this.#divisions.clear()
  }
}

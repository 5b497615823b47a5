/** Members in order of their distance from a host: control and entry hosts by zone and region. */

import { rendezvousWeight } from '../core/rendezvous.js'
import type { HostId, RegionId, ZoneId } from '../core/id.js'
import type { Member, MembershipTables } from './types.js'

const push = <K>(groups: Map<K, Member[]>, key: K, member: Member): void => {
  const group = groups.get(key)
  if (group === undefined) groups.set(key, [member])
  else group.push(member)
}

/** Members that are not dead, without the host itself. */
export interface Locality {
  readonly zoneControls: readonly Member[]
  readonly zoneEntries: readonly Member[]
  /** Control hosts of the own region, those of the own zone included. */
  readonly regionControls: readonly Member[]
  /** Entry hosts in other zones of the own region. */
  readonly regionEntries: readonly Member[]
  readonly controls: readonly Member[]
  /** Control hosts of each other region. */
  readonly remoteControls: ReadonlyMap<RegionId, readonly Member[]>
  /** Entry hosts outside the own zone. */
  readonly otherEntries: readonly Member[]
  /** Entry hosts that receive rumors from this control host. */
  readonly assignedEntries: readonly Member[]
  /** Entry hosts that receive urgent rumors from this control host too, in case their own one has failed unnoticed. */
  readonly backupEntries: readonly Member[]
}

/** Returns the candidate that ranks first for a key. */
export const topRanked = (key: string, candidates: readonly Member[]): Member | undefined => {
  let top: Member | undefined
  let topWeight = -1
  for (const candidate of candidates) {
    const weight = rendezvousWeight(key, candidate.host)
    if (weight <= topWeight) continue
    topWeight = weight
    top = candidate
  }
  return top
}

/** Whether a host shows no sign of a failure. Control hosts that may have failed get no hosts assigned. */
export const isDependable = (member: Member): boolean => member.state === 'alive'

const assign = (self: Member, controls: readonly Member[], entriesByZone: ReadonlyMap<ZoneId, readonly Member[]>): Pick<Locality, 'assignedEntries' | 'backupEntries'> => {
  const dependable = [self, ...controls.filter(isDependable)]
  const assignedEntries: Member[] = []
  const backupEntries: Member[] = []
  for (const [zone, entries] of entriesByZone) {
    const region = entries[0]?.region
    const inZone = dependable.filter(member => member.zone === zone)
    const inRegion = dependable.filter(member => member.region === region)
    const nearest = inZone.length > 0 ? inZone : inRegion.length > 0 ? inRegion : dependable
    const backups = inZone.length > 1 ? inZone : inRegion.length > 1 ? inRegion : dependable
    if (!nearest.includes(self) && !backups.includes(self)) continue
    for (const entry of entries) {
      const assigned = topRanked(entry.host, nearest)
      if (assigned === self) assignedEntries.push(entry)
      else if (topRanked(entry.host, backups.filter(member => member !== assigned)) === self) backupEntries.push(entry)
    }
  }
  return { assignedEntries, backupEntries }
}

const readLocality = ({ members, gossip }: MembershipTables): Locality => {
  const { self } = gossip
  const controls: Member[] = []
  const otherEntries: Member[] = []
  const remoteControls = new Map<RegionId, Member[]>()
  const entriesByZone = new Map<ZoneId, Member[]>()
  for (const { member } of members.rows()) {
    if (member.state === 'dead' || member.host === self.host) continue
    if (member.role === 'control') {
      controls.push(member)
      if (member.region !== self.region) push(remoteControls, member.region, member)
    } else {
      push(entriesByZone, member.zone, member)
      if (member.zone !== self.zone) otherEntries.push(member)
    }
  }
  return {
    zoneControls: controls.filter(member => member.zone === self.zone),
    zoneEntries: entriesByZone.get(self.zone) ?? [],
    regionControls: controls.filter(member => member.region === self.region),
    regionEntries: otherEntries.filter(member => member.region === self.region),
    controls,
    remoteControls,
    otherEntries,
    ...self.role === 'control' ? assign(self, controls, entriesByZone) : { assignedEntries: [], backupEntries: [] }
  }
}

/** Reads the locality of this host and caches it until the member table changes. */
export class LocalityCache {
  #revision = -1
  #self: HostId | null = null
  #locality: Locality | null = null

  read (tables: MembershipTables): Locality {
    const { members, gossip } = tables
    if (this.#locality === null || members.revision !== this.#revision || this.#self !== gossip.self.host) {
      this.#locality = readLocality(tables)
      this.#revision = members.revision
      this.#self = gossip.self.host
    }
    return this.#locality
  }
}

/**
 * Dissemination in three tiers, so that few bytes cross a zone or region: control hosts pass rumors to one control host of each
 * other region, to those of their own region, and to the entry hosts that are assigned to them. Entry hosts stay in their zone.
 */

import { rendezvousWeight } from '../core/rendezvous.js'
import type { Millis } from '../core/tick.js'
import { LocalityCache, isDependable, topRanked } from '../membership/locality.js'
import type { Locality } from '../membership/locality.js'
import type { PeerSelector } from '../membership/peerSelector.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import type { Member, Rumor, RumorRow, Seed } from '../membership/types.js'
import { deadMembers, knownControls, sample, unknownSeeds, without } from './dissemination.js'
import type { Dissemination } from './dissemination.js'
import type { GossipTick } from './gossipSteps.js'

const BATCH_MS: Millis = 200
/** Entry hosts of a zone up to which their control host sends to each; in larger zones entry hosts forward rumors. */
const MAX_DIRECT_HOSTS = 24
/** Peers to which an entry host forwards a rumor; enough to compensate for a control host that has just failed. */
const ENTRY_FANOUT = 1
/** The same in zones with more hosts than their control hosts send to. */
const LARGE_ZONE_FANOUT = 3
/** Control hosts of another region that rumors which must not be missed are sent to, in case one has failed unnoticed. */
const URGENT_RELAYS = 2
/** One probe in this many leaves the zone of an entry host. */
const ENTRY_OTHER_ZONE_PROBES = 4
/** Kinds of hosts that a control host probes in turn. */
const CONTROL_PROBE_KINDS = 3
/** One synchronization in this many leaves the region of a control host, or goes to another entry host of the zone. */
const DISTANT_SYNCS = 4
/** An entry host that no vouch has reached for this long looks for peers outside its region. */
const ISOLATION_MS: Millis = 6_000

const isBulk = (rumor: Rumor): boolean =>
  rumor.topic === 'change' || (rumor.topic === 'announcement' && rumor.announcement.state === 'up') || (rumor.topic === 'member' && rumor.member.state === 'alive')

const findRelays = (key: string, controls: readonly Member[], limit: number): Member[] => {
  const relays: Member[] = []
  while (relays.length < limit) {
    const relay = topRanked(key, controls.filter(member => !relays.includes(member)))
    if (relay === undefined) break
    relays.push(relay)
  }
  return relays
}

const firstNonEmpty = (...lists: ReadonlyArray<readonly Member[]>): readonly Member[] => lists.find(list => list.length > 0) ?? []

/** Passes rumors down from regions to zones to hosts. */
export class TieredDissemination implements Dissemination {
  readonly name = 'tiered'
  readonly batchMs = BATCH_MS
  readonly #localities = new LocalityCache()

  constructor (readonly peerSelector: PeerSelector) {}

  probeTargets (tables: RumorTables, sequence: number): readonly Member[] {
    const { zoneControls, zoneEntries, regionEntries, regionControls, controls, otherEntries } = this.#localities.read(tables)
    const zone = [...zoneControls, ...zoneEntries]
    if (tables.gossip.self.role === 'entry') {
      const region = firstNonEmpty(regionEntries, regionControls, this.#anyPeers(tables))
      return sequence % ENTRY_OTHER_ZONE_PROBES === 0 ? region : firstNonEmpty(zone, region)
    }
    const kinds = [zone, controls, otherEntries]
    const first = sequence % CONTROL_PROBE_KINDS
    return firstNonEmpty(kinds[first] ?? [], kinds[(first + 1) % CONTROL_PROBE_KINDS] ?? [], kinds[(first + 2) % CONTROL_PROBE_KINDS] ?? [])
  }

  syncTargets (tick: GossipTick): readonly Member[] {
    const { zoneControls, zoneEntries, regionControls, controls, otherEntries } = this.#localities.read(tick.tables)
    const isDistant = tick.random.below(DISTANT_SYNCS) === 0
    if (tick.tables.gossip.self.role === 'control') {
      const { region } = tick.tables.gossip.self
      const remote = controls.filter(member => member.region !== region)
      return isDistant ? firstNonEmpty(remote, regionControls, otherEntries) : firstNonEmpty(regionControls, remote, zoneEntries)
    }
    if (this.#isIsolated(tick)) return this.#anyPeers(tick.tables)
    return isDistant ? firstNonEmpty(zoneEntries, zoneControls, regionControls, controls) : firstNonEmpty(zoneControls, regionControls, zoneEntries, controls)
  }

  unreachableTargets (tables: RumorTables): readonly Seed[] {
    const { self } = tables.gossip
    const dead = deadMembers(tables).filter(member => self.role === 'control' || member.role === 'control' || member.zone === self.zone)
    return [...dead, ...unknownSeeds(tables)]
  }

  joinTargets (): readonly Seed[] { return [] }

  fetchTargets (tables: RumorTables, round: number): readonly Member[] {
    const { zoneControls, zoneEntries, regionControls, regionEntries, controls } = this.#localities.read(tables)
    const scopes = [[...zoneControls, ...zoneEntries], [...regionControls, ...regionEntries], controls].filter(scope => scope.length > 0)
    return scopes[round % Math.max(1, scopes.length)] ?? this.#anyPeers(tables)
  }

  // The nearest first. Each host starts at another one of those that are equally near.
  confirmationTargets (tables: RumorTables): readonly Seed[] {
    const { zone, region, host } = tables.gossip.self
    const distance = (target: Seed): number => {
      const member = tables.members.get(target.host)?.member
      if (member === undefined) return 3
      return member.zone === zone ? 0 : member.region === region ? 1 : 2
    }
    const rank = (target: Seed): number => rendezvousWeight(host, target.host)
    return [...knownControls(tables)].sort((a, b) => distance(a) - distance(b) || rank(b) - rank(a))
  }

  router (tick: GossipTick): (row: RumorRow) => readonly Member[] {
    const locality = this.#localities.read(tick.tables)
    const isControl = tick.tables.gossip.self.role === 'control'
    return row => without(isControl ? this.#controlTargets(tick, row, locality) : this.#entryTargets(tick, row, locality), row.from)
  }

  isUrgent (rumor: Rumor): boolean { return rumor.topic === 'change' || !isBulk(rumor) }

  isRetransmitted (rumor: Rumor): boolean { return !isBulk(rumor) }

  // A starting host asks a seed, which may be far away; that one tells it only about hosts near it, which know the rest.
  offers (self: Member, to: Member, rumor: Rumor): boolean {
    if (to.role === 'control' || to.region === self.region) return true
    return rumor.topic !== 'announcement' && (rumor.topic !== 'member' || rumor.member.role === 'control' || rumor.member.zone === to.zone)
  }

  indexReportTargets (tables: RumorTables): readonly Member[] {
    const { zoneControls, regionControls, controls } = this.#localities.read(tables)
    const nearest = topRanked(tables.gossip.self.host, firstNonEmpty(zoneControls, regionControls, controls))
    return nearest === undefined ? [] : [nearest]
  }

  #isIsolated ({ tables, now }: GossipTick): boolean {
    const { vouch, vouchedAt } = tables.gossip
    return vouch !== null && now - vouchedAt > ISOLATION_MS
  }

  #anyPeers (tables: RumorTables): readonly Member[] {
    const { sameZone, otherZones } = this.peerSelector.select(tables)
    return [...sameZone, ...otherZones]
  }

  #entryTargets (tick: GossipTick, row: RumorRow, locality: Locality): readonly Member[] {
    const { zoneControls, zoneEntries, regionControls, controls } = locality
    const fanout = zoneEntries.length > MAX_DIRECT_HOSTS ? LARGE_ZONE_FANOUT : ENTRY_FANOUT
    const peers = sample(tick, without(zoneEntries, row.from), fanout)
    if (row.from === null) return [...firstNonEmpty(zoneControls.filter(isDependable), regionControls.filter(isDependable), controls), ...peers]
    return isBulk(row.rumor) && zoneEntries.length <= MAX_DIRECT_HOSTS ? [] : peers
  }

  #controlTargets (tick: GossipTick, row: RumorRow, locality: Locality): readonly Member[] {
    const { assignedEntries, backupEntries, regionControls, remoteControls } = locality
    const direct = assignedEntries.length > MAX_DIRECT_HOSTS ? sample(tick, assignedEntries, MAX_DIRECT_HOSTS) : assignedEntries
    // Control hosts get changes from the replicated log. An entry host that misses one learns of it by the next vouch.
    if (row.rumor.topic === 'change') return direct
    const mustArrive = !isBulk(row.rumor)
    const entries = mustArrive ? [...direct, ...backupEntries] : direct
    // The leader sends vouches to each replica of the log itself.
    if (row.rumor.topic === 'vouch') return entries
    const { self } = tick.tables.gossip
    const source = row.from === null ? self : tick.tables.members.get(row.from)?.member ?? self
    if (source.role === 'control' && source.region !== self.region) return [...entries, ...regionControls]
    if (source.role === 'control' && source.host !== self.host) return entries
    const relays: Member[] = []
    for (const [region, controls] of remoteControls) {
      const alive = controls.filter(isDependable)
      relays.push(...findRelays(`${self.host}/${region}`, alive.length > 0 ? alive : controls, mustArrive ? URGENT_RELAYS : 1))
    }
    return [...entries, ...regionControls, ...relays]
  }
}

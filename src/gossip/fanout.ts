/** Policies that choose the members to which new rumors are sent immediately. */

import { rendezvousWeight } from '../core/rendezvous.js'
import type { GossipTick } from './gossipSteps.js'
import type { PeerSelector } from '../membership/peerSelector.js'
import type { Member } from '../membership/types.js'

/** Chooses the members that receive new rumors immediately; probes and digest synchronization deliver them to the others. */
export interface Fanout {
  readonly name: string
  targets (tick: GossipTick): Member[]
}

/** Members of the own zone that receive a new rumor immediately; it must also spread within a zone that is partitioned off. */
export const SAME_ZONE_FANOUT = 3
/** Members of other zones that receive a new rumor immediately. */
export const OTHER_ZONES_FANOUT = 2

const sample = (tick: GossipTick, candidates: Member[], limit: number): Member[] => {
  const drawn: Member[] = []
  while (drawn.length < limit && candidates.length > 0) drawn.push(...candidates.splice(tick.random.below(candidates.length), 1))
  return drawn
}

/** Epidemic dissemination: every host forwards rumors to a few random peers. Needs no full member list but sends many duplicates. */
export class EpidemicFanout implements Fanout {
  readonly name = 'epidemic'

  constructor (readonly peerSelector: PeerSelector) {}

  targets (tick: GossipTick): Member[] {
    const { sameZone, otherZones } = this.peerSelector.select(tick.tables)
    return [...sample(tick, [...sameZone], SAME_ZONE_FANOUT), ...sample(tick, [...otherZones], OTHER_ZONES_FANOUT)]
  }
}

/** Entry hosts per zone to which a control host sends directly; in larger zones the others receive rumors from entry hosts. */
const MAX_DIRECT_HOSTS_PER_ZONE = 24
/** Members to which an entry host forwards a rumor; enough to compensate for a control host that has just failed. */
const ENTRY_FANOUT = 1

/**
 * Control hosts send to every entry host of the zones that they are responsible for: their own zone, and those zones
 * without a control host that rendezvous hashing assigns to them among the live control hosts. A rumor thus crosses each
 * zone boundary about once.
 */
export class ZoneFanout implements Fanout {
  readonly name = 'zone'
  readonly #epidemic: EpidemicFanout

  constructor (readonly peerSelector: PeerSelector) { this.#epidemic = new EpidemicFanout(peerSelector) }

  targets (tick: GossipTick): Member[] {
    const { self } = tick.tables.gossip
    if (self.role === 'control') return this.#controlTargets(tick)
    const { sameZone, otherZones } = this.peerSelector.select(tick.tables)
    return sameZone.length >= MAX_DIRECT_HOSTS_PER_ZONE ? this.#epidemic.targets(tick) : sample(tick, sameZone.length > 0 ? [...sameZone] : [...otherZones], ENTRY_FANOUT)
  }

  #controlTargets (tick: GossipTick): Member[] {
    const { self } = tick.tables.gossip
    const controls: Member[] = []
    const entryHosts = new Map<string, Member[]>()
    for (const { member } of tick.tables.members.rows()) {
      if (member.state === 'dead' || member.host === self.host) continue
      if (member.role === 'control') controls.push(member)
      else if (!entryHosts.has(member.zone)) entryHosts.set(member.zone, [member])
      else entryHosts.get(member.zone)?.push(member)
    }
    const targets = [...controls]
    for (const [zone, hosts] of entryHosts) {
      if (this.#isResponsibleFor(self, controls, zone)) targets.push(...hosts.slice(0, MAX_DIRECT_HOSTS_PER_ZONE))
    }
    return targets
  }

  #isResponsibleFor (self: Member, controls: readonly Member[], zone: string): boolean {
    if (self.zone === zone) return true
    const own = rendezvousWeight(zone, self.host)
    for (const other of controls) {
      // A suspect may have failed, so its zones also receive from another control host.
      if (other.state !== 'alive') continue
      if (other.zone === zone || rendezvousWeight(zone, other.host) > own) return false
    }
    return true
  }
}

/** Fanout policies by name. */
const fanoutRegistry = {
  epidemic: (peerSelector: PeerSelector): Fanout => new EpidemicFanout(peerSelector),
  zone: (peerSelector: PeerSelector): Fanout => new ZoneFanout(peerSelector)
} as const

export type FanoutName = keyof typeof fanoutRegistry

export const createFanout = (name: FanoutName, peerSelector: PeerSelector): Fanout => fanoutRegistry[name](peerSelector)

/** Whom fresh news is sent to at once. */

import { rendezvousWeight } from '../core/rendezvous.js'
import type { GossipTick } from './gossipSteps.js'
import type { PeerSelector } from '../membership/peerSelector.js'
import type { Member } from '../membership/types.js'

/** Chooses the members that hear fresh news at once; probes and digests repair the rest. */
export interface Fanout {
  readonly name: string
  targets (tick: GossipTick): Member[]
}

/** Members of the own zone that a fresh rumor is sent to at once: a zone that is cut off must still hear it. */
export const ZONE_FANOUT = 3
/** Members of other zones that a fresh rumor is sent to at once. */
export const FAR_FANOUT = 2

const drawSome = (tick: GossipTick, candidates: Member[], most: number): Member[] => {
  const drawn: Member[] = []
  while (drawn.length < most && candidates.length > 0) drawn.push(...candidates.splice(tick.random.below(candidates.length), 1))
  return drawn
}

/** Every host passes news on to a few others: needs no list of all, at the price of many copies. */
export class EpidemicReach implements Fanout {
  readonly name = 'epidemic'

  constructor (readonly partners: PeerSelector) {}

  targets (tick: GossipTick): Member[] {
    const { sameZone: near, otherZones: far } = this.partners.select(tick.tables)
    return [...drawSome(tick, [...near], ZONE_FANOUT), ...drawSome(tick, [...far], FAR_FANOUT)]
  }
}

/** Entry hosts of one zone that a control host tells directly; larger zones pass news on among themselves. */
const DIRECT_HOSTS = 24
/** Members that an entry host passes news on to: enough to bridge a control host that has just died. */
const ENTRY_FANOUT = 1

/**
 * Control hosts tell every entry host of the zones that are theirs: their own zone, and zones without a control host by
 * rendezvous among those that live. News crosses each border between zones about once.
 */
export class ZoneReach implements Fanout {
  readonly name = 'zone'
  readonly #epidemic: EpidemicReach

  constructor (readonly partners: PeerSelector) { this.#epidemic = new EpidemicReach(partners) }

  targets (tick: GossipTick): Member[] {
    const { self } = tick.tables.gossip
    if (self.role === 'control') return this.#fromControl(tick)
    const { sameZone: near, otherZones: far } = this.partners.select(tick.tables)
    return near.length >= DIRECT_HOSTS ? this.#epidemic.targets(tick) : drawSome(tick, near.length > 0 ? [...near] : [...far], ENTRY_FANOUT)
  }

  #fromControl (tick: GossipTick): Member[] {
    const { self } = tick.tables.gossip
    const controls: Member[] = []
    const entries = new Map<string, Member[]>()
    for (const { member } of tick.tables.members.rows()) {
      if (member.state === 'dead' || member.host === self.host) continue
      if (member.role === 'control') controls.push(member)
      else if (!entries.has(member.zone)) entries.set(member.zone, [member])
      else entries.get(member.zone)?.push(member)
    }
    const targets = [...controls]
    for (const [zone, hosts] of entries) {
      if (this.#isMine(self, controls, zone)) targets.push(...hosts.slice(0, DIRECT_HOSTS))
    }
    return targets
  }

  #isMine (self: Member, controls: readonly Member[], zone: string): boolean {
    if (self.zone === zone) return true
    const own = rendezvousWeight(zone, self.host)
    for (const other of controls) {
      // A suspect may be gone, so its zones are told twice.
      if (other.state !== 'alive') continue
      if (other.zone === zone || rendezvousWeight(zone, other.host) > own) return false
    }
    return true
  }
}

/** The reaches by the names that settings use. */
const reachRegistry = {
  epidemic: (partners: PeerSelector): Fanout => new EpidemicReach(partners),
  zone: (partners: PeerSelector): Fanout => new ZoneReach(partners)
} as const

/** The name of a reach. */
export type FanoutName = keyof typeof reachRegistry

/** The reach of a name. */
export const createFanout = (name: FanoutName, partners: PeerSelector): Fanout => reachRegistry[name](partners)

/** Whom a host talks to: a bounded choice of members, so that links and traffic do not grow with the fleet. */

import { crc32 } from 'node:zlib'
import type { HostId } from '../core/id.js'
import type { Member, MembershipTables } from './types.js'

/** Members of the own zone that a host probes and sends news to. */
export const ZONE_PARTNERS = 8
/** Members of other zones that a host probes and sends news to. */
export const FAR_PARTNERS = 6

/** The partners of a host. */
export interface Peers { readonly sameZone: readonly Member[], readonly otherZones: readonly Member[] }

// Rendezvous order differs from host to host, so the fleet forms a random graph that stays connected.
const weigh = (self: HostId, other: HostId): number => crc32(`${self}\n${other}`)

const nearest = (self: HostId, members: readonly Member[], most: number): Member[] => {
  if (members.length <= most) return [...members]
  return members.map(member => ({ member, weight: weigh(self, member.host) })).sort((a, b) => a.weight - b.weight).slice(0, most).map(row => row.member)
}

/** Chooses partners anew when the members have changed. */
export class PeerSelector {
  #revision = -1
  #partners: Peers = { sameZone: [], otherZones: [] }

  select (tables: MembershipTables): Peers {
    if (tables.members.revision === this.#revision) return this.#partners
    this.#revision = tables.members.revision
    const { host, zone } = tables.gossip.self
    const near: Member[] = []
    const far: Member[] = []
    for (const { member } of tables.members.rows()) {
      if (member.host === host || member.state === 'dead') continue
      if (member.zone === zone) near.push(member)
      else far.push(member)
    }
    this.#partners = { sameZone: nearest(host, near, ZONE_PARTNERS), otherZones: nearest(host, far, FAR_PARTNERS) }
    return this.#partners
  }
}

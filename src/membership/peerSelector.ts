/** Selects a bounded number of peers per host, so that links and traffic don't grow with the size of the fleet. */

import { crc32 } from 'node:zlib'
import type { HostId } from '../core/id.js'
import type { Member, MembershipTables } from './types.js'

/** Maximum number of peers in the own zone that a host probes and sends rumors to. */
export const MAX_SAME_ZONE_PEERS = 8
/** Maximum number of peers in other zones that a host probes and sends rumors to. */
export const MAX_OTHER_ZONES_PEERS = 6

export interface Peers { readonly sameZone: readonly Member[], readonly otherZones: readonly Member[] }

// Rendezvous hashing orders the members differently on each host, so that the peers form a connected random graph.
const peerWeight = (self: HostId, other: HostId): number => crc32(`${self}\n${other}`)

const lowestWeights = (self: HostId, members: readonly Member[], limit: number): Member[] => {
  if (members.length <= limit) return [...members]
  return members.map(member => ({ member, weight: peerWeight(self, member.host) })).sort((a, b) => a.weight - b.weight).slice(0, limit).map(row => row.member)
}

/** Selects the peers of a host and caches them until the member table changes. */
export class PeerSelector {
  #revision = -1
  #peers: Peers = { sameZone: [], otherZones: [] }

  select (tables: MembershipTables): Peers {
    if (tables.members.revision === this.#revision) return this.#peers
    this.#revision = tables.members.revision
    const { host, zone } = tables.gossip.self
    const sameZone: Member[] = []
    const otherZones: Member[] = []
    for (const { member } of tables.members.rows()) {
      if (member.host === host || member.state === 'dead') continue
      if (member.zone === zone) sameZone.push(member)
      else otherZones.push(member)
    }
    this.#peers = { sameZone: lowestWeights(host, sameZone, MAX_SAME_ZONE_PEERS), otherZones: lowestWeights(host, otherZones, MAX_OTHER_ZONES_PEERS) }
    return this.#peers
  }
}

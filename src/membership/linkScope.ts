/** How far away the other end of a link is. */

import type { HostId } from '../core/id.js'
import type { MembershipTables } from './types.js'

/** Distance of a host: in the own availability zone, in the own region, in another region, or of a host that is not known yet. */
export type LinkScope = 'zone' | 'region' | 'fleet' | 'unknown'

/** Returns how far away a host is. */
export const linkScope = ({ members, gossip }: Pick<MembershipTables, 'members' | 'gossip'>, host: HostId): LinkScope => {
  const member = members.get(host)?.member
  if (member === undefined) return 'unknown'
  if (member.zone === gossip.self.zone) return 'zone'
  return member.region === gossip.self.region ? 'region' : 'fleet'
}

/** Chooses the control host that a backend server reports to, so that its reports stay near and one host judges its silence. */

import { topRanked } from '../membership/locality.js'
import type { Member, MembershipTables } from '../membership/types.js'
import { backendKey } from './announcementTopic.js'
import type { Announcement } from './types.js'

/** Returns the control host for a server's reports: in its zone, else in its region, else anywhere; this host counts as well. */
export const reportReceiver = ({ members, gossip }: Pick<MembershipTables, 'members' | 'gossip'>, announcement: Announcement): Member => {
  const controls: Member[] = []
  for (const { member } of members.rows()) {
    if (member.role === 'control' && member.state === 'alive') controls.push(member)
  }
  const inZone = controls.filter(member => member.zone === announcement.zone)
  const inRegion = controls.filter(member => member.region === announcement.region)
  const nearest = inZone.length > 0 ? inZone : inRegion.length > 0 ? inRegion : controls
  return topRanked(backendKey(announcement), nearest) ?? gossip.self
}

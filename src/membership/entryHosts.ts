/** Which entry hosts are known; they share what belongs to the fleet as a whole. */

import type { Member, MembershipTables } from './types.js'

/** Entry hosts that are known, also those that are dead for now: they may be back with their part at any moment. */
export const countEntryHosts = (tables: Pick<MembershipTables, 'members'>): number => {
  let count = 0
  for (const { member } of tables.members.rows()) {
    if (member.role === 'entry') count += 1
  }
  return count
}

/** Whether a member takes requests of callers now. */
export const isServingEntry = (member: Member): boolean =>
  member.role === 'entry' && member.callers !== null && member.state === 'alive'

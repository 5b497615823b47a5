/** Queries about entry hosts, which share the limits that hold for the whole fleet. */

import type { Member, MembershipTables } from './types.js'

/** Counts all known entry hosts, including dead ones: they may return at any time and use their share. */
export const countEntryHosts = (tables: Pick<MembershipTables, 'members'>): number => {
  let count = 0
  for (const { member } of tables.members.rows()) {
    if (member.role === 'entry') count += 1
  }
  return count
}

/** Whether a member is an entry host that currently accepts requests of callers. */
export const isServingEntry = (member: Member): boolean =>
  member.role === 'entry' && member.callers !== null && member.state === 'alive'

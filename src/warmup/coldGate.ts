/** Keeps what a cold backend server gets from all hosts together under its warm-up rate, without asking them. */

import type { BackendRow } from '../announcement/types.js'
import type { Configuration } from '../configuration/configurationTables.js'
import { isAmongTopRanked } from '../core/rendezvous.js'
import type { Millis } from '../core/tick.js'
import type { MembershipTables } from '../membership/types.js'

/** Entry hosts that may send to one cold server; all hosts choose the same ones. */
export const COLD_SENDERS = 2
const SECOND: Millis = 1_000

/** Tables that the gate reads. */
export type ColdTables = Pick<MembershipTables, 'members' | 'gossip'> & { readonly configuration: Configuration }

// Hosts next to the server send to it; where it has none, any host may be chosen.
const possibleSenders = (tables: ColdTables, row: BackendRow): string[] => {
  const near: string[] = []
  const all: string[] = []
  for (const { member } of tables.members.rows()) {
    // A leaving host still serves what it gets.
    if (member.role !== 'entry' || (member.state !== 'alive' && member.state !== 'leaving')) continue
    all.push(member.host)
    if (member.zone === row.announcement.zone) near.push(member.host)
  }
  return near.length > 0 ? near : all
}

/** Whether a server bears only its warm-up rate now. */
export const isCold = (row: BackendRow, now: Millis): boolean => row.coldUntil > now

/** Whether this host may send one more request to a cold server. */
export const mayWarm = (tables: ColdTables, row: BackendRow, now: Millis): boolean => {
  const warmup = tables.configuration.services.get(row.announcement.service)?.warmup ?? null
  if (warmup === null) return true
  row.coldSendTimes = row.coldSendTimes.filter(at => now - at < SECOND)
  if (row.coldSendTimes.length + 1 > warmup.ratePerS / COLD_SENDERS) return false
  return isAmongTopRanked(row.key, tables.gossip.self.host, possibleSenders(tables, row), COLD_SENDERS)
}

/** Counts a request that is sent to a cold server. */
export const noteColdStart = (row: BackendRow, now: Millis): void => {
  if (isCold(row, now)) row.coldSendTimes.push(now)
}

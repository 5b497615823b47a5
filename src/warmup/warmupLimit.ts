/** Limits what all hosts together send to a cold backend server to its warm-up rate, without coordination between them. */

import type { BackendRow } from '../announcement/types.js'
import type { Configuration } from '../configuration/configurationTables.js'
import { isAmongTopRanked } from '../core/rendezvous.js'
import type { Millis } from '../core/tick.js'
import type { MembershipTables } from '../membership/types.js'

/** Entry hosts that may send to one cold server. Every host selects the same ones by rendezvous hashing. */
export const SENDERS_PER_COLD_SERVER = 2
const RATE_WINDOW_MS: Millis = 1_000

/** Tables that the limit is computed from. */
export type WarmupLimitTables = Pick<MembershipTables, 'members' | 'gossip'> & { readonly configuration: Configuration }

// Returns the hosts in the zone of the server, or all hosts if there are none.
const eligibleSenders = (tables: WarmupLimitTables, row: BackendRow): string[] => {
  const inZone: string[] = []
  const all: string[] = []
  for (const { member } of tables.members.rows()) {
    // A leaving host still serves requests.
    if (member.role !== 'entry' || (member.state !== 'alive' && member.state !== 'leaving')) continue
    all.push(member.host)
    if (member.zone === row.announcement.zone) inZone.push(member.host)
  }
  return inZone.length > 0 ? inZone : all
}

/** Returns whether a server is cold, that is, limited to its warm-up rate. */
export const isCold = (row: BackendRow, now: Millis): boolean => row.coldUntil > now

const isColdSender = (tables: WarmupLimitTables, row: BackendRow): boolean => {
  const membersRevision = tables.members.revision
  if (row.coldSender?.membersRevision !== membersRevision) {
    const isSender = isAmongTopRanked(row.key, tables.gossip.self.host, eligibleSenders(tables, row), SENDERS_PER_COLD_SERVER)
    row.coldSender = { membersRevision, isSender }
  }
  return row.coldSender.isSender
}

/** Returns whether this host may send one more request to a cold server; always true for services without a warm-up rate. */
export const maySendToCold = (tables: WarmupLimitTables, row: BackendRow, now: Millis): boolean => {
  const warmup = tables.configuration.services.get(row.announcement.service)?.warmup ?? null
  if (warmup === null) return true
  row.coldSendTimes = row.coldSendTimes.filter(at => now - at < RATE_WINDOW_MS)
  if (row.coldSendTimes.length + 1 > warmup.ratePerS / SENDERS_PER_COLD_SERVER) return false
  return isColdSender(tables, row)
}

/** Records a request that is sent to a server if the server is cold. */
export const recordColdSend = (row: BackendRow, now: Millis): void => {
  if (isCold(row, now)) row.coldSendTimes.push(now)
}

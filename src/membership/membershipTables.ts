/** Builds the membership tables of a starting process. */

import type { HostId } from '../core/id.js'
import { RowTable } from '../core/table.js'
import { NEVER } from '../core/tick.js'
import type { Millis } from '../core/tick.js'
import type { Member, MemberRow, MembershipTables, ProbeRow, RumorRow, Seed } from './types.js'

/** Creates tables that contain only the process itself and its seeds. */
export const createMembership = (self: Member, seeds: readonly Seed[], now: Millis): MembershipTables => {
  const members = new RowTable<HostId, MemberRow>(row => row.member.host, row => row.member.state)
  members.put({ member: self, changedAt: now, index: 0 })
  return {
    members,
    rumors: new RowTable<string, RumorRow>(row => row.key),
    probes: new RowTable<HostId, ProbeRow>(row => row.host),
    gossip: {
      self,
      nextProbeAt: now,
      nextSyncAt: now,
      sequence: 0,
      vouch: null,
      vouchedAt: now,
      vouchedBy: null,
      configurationFrom: null,
      confirmedAt: null,
      reportedIndex: 0,
      reportsLeft: 0,
      isAuthority: self.role === 'control',
      stall: { ranAt: now, since: now, backlogUntil: now },
      nextAskAt: now,
      askCount: 0,
      fetchAt: NEVER,
      seeds,
      roundTrips: new Map()
    }
  }
}

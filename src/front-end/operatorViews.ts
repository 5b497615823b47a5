/** Status and configuration as shown to operators, with the age of the data. */

import { takeSnapshot } from '../configuration/configurationTables.js'
import type { ControlTables } from '../control/types.js'
import { ELECTION_TIMEOUT_MS } from '../replicated-log/timing.js'

// Marks data of a partitioned host as outdated.
const describeFreshness = (tables: ControlTables, now: number): Record<string, unknown> => {
  const { confirmedAt } = tables.gossip
  const ageMs = confirmedAt === null ? null : Math.max(0, Math.round(now - confirmedAt))
  return { index: tables.configuration.index, isCurrent: ageMs !== null && ageMs < 3 * ELECTION_TIMEOUT_MS, ageMs }
}

/** Status of the fleet: leader and replicas, members, backend servers, and the entry hosts that apply the latest configuration. */
export const describeStatus = (tables: ControlTables, now: number): Record<string, unknown> => {
  const { replica, members, backends, configuration } = tables
  const behind: string[] = []
  let inForce = 0
  for (const row of members.rows()) {
    if (row.member.role !== 'entry') continue
    if (row.index >= configuration.index) inForce += 1
    else behind.push(row.member.host)
  }
  return {
    ...describeFreshness(tables, now),
    leader: replica.leader,
    role: replica.role,
    term: replica.term,
    voters: replica.group.voters.map(row => row.host),
    learners: replica.group.learners.map(row => row.host),
    joining: [...tables.joining.rows()].map(row => row.host),
    inForce: { hosts: inForce, behind },
    members: [...members.rows()].map(row => ({ host: row.member.host, role: row.member.role, zone: row.member.zone, state: row.member.state, index: row.index })),
    backendServers: [...backends.rows()].map(row => ({
      service: row.announcement.service,
      backend: row.announcement.backend,
      zone: row.announcement.zone,
      state: row.announcement.state,
      slots: row.announcement.slots
    }))
  }
}

/** The configuration, with the records of earlier requests reduced to their number. */
export const describeConfiguration = (tables: ControlTables, now: number): Record<string, unknown> => {
  const { records, ...configuration } = takeSnapshot(tables.configuration)
  return { ...describeFreshness(tables, now), rememberedRequests: records.length, configuration }
}

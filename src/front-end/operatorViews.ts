/** What operators see of the fleet, with how far it can be trusted. */

import { takeSnapshot } from '../configuration/configurationTables.js'
import type { ControlTables } from '../control/types.js'
import { ELECTION_TIMEOUT_MS } from '../replicated-log/timing.js'

// A host that was cut off must not answer as if its copy were current.
const describeCurrency = (tables: ControlTables, now: number): Record<string, unknown> => {
  const { confirmedAt } = tables.gossip
  const ageMs = confirmedAt === null ? null : Math.max(0, Math.round(now - confirmedAt))
  return { index: tables.configuration.index, isCurrent: ageMs !== null && ageMs < 3 * ELECTION_TIMEOUT_MS, ageMs }
}

/** Where the newest configuration is in force, who leads, and who is there. */
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
    ...describeCurrency(tables, now),
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

/** The configuration without what only the log needs. */
export const describeConfiguration = (tables: ControlTables, now: number): Record<string, unknown> => {
  const { records, ...configuration } = takeSnapshot(tables.configuration)
  return { ...describeCurrency(tables, now), rememberedRequests: records.length, configuration }
}

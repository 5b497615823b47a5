/** Rumors about members. A higher epoch wins, then a higher incarnation, then the more severe state. */

import type { RumorTick, RumorTopic } from './rumorTopic.js'
import type { Member } from './types.js'

const severity: Readonly<Record<Member['state'], number>> = { alive: 0, leaving: 1, suspect: 2, dead: 3 }

/** Whether an incoming member record replaces the known one. */
export const supersedes = (incoming: Member, known: Member): boolean => {
  if (incoming.epoch !== known.epoch) return incoming.epoch > known.epoch
  if (incoming.incarnation !== known.incarnation) return incoming.incarnation > known.incarnation
  return severity[incoming.state] > severity[known.state]
}

// Refutes rumors about this host itself: a suspicion or death is answered with a higher incarnation. If the wall clock has
// moved back since the last run of this process, it takes an epoch after that of the last run; otherwise other hosts would
// ignore its records.
const refute = (tick: RumorTick, incoming: Member): boolean => {
  const gossip = tick.tables.gossip
  const self = gossip.self
  if (incoming.epoch > self.epoch) {
    gossip.self = { ...self, epoch: incoming.epoch + 1 }
    tick.tables.members.put({ member: gossip.self, changedAt: tick.now, index: 0 })
    return true
  }
  if (incoming.epoch !== self.epoch || incoming.incarnation < self.incarnation) return false
  if (severity[incoming.state] <= severity[self.state]) return false
  gossip.self = { ...self, incarnation: incoming.incarnation + 1 }
  tick.tables.members.put({ member: gossip.self, changedAt: tick.now, index: 0 })
  return true
}

/** Merges a member record into the table; returns whether it replaced the known one. */
export const mergeMember = (tick: RumorTick, member: Member): boolean => {
  const known = tick.tables.members.get(member.host)
  if (known !== undefined && !supersedes(member, known.member)) return false
  const index = known?.member.epoch === member.epoch ? known.index : 0
  tick.tables.members.put({ member, changedAt: tick.now, index })
  return true
}

export const memberTopic: RumorTopic<'member'> = {
  key: rumor => `member/${rumor.member.host}`,
  version: ({ member }) => `${member.epoch} ${member.incarnation} ${member.state}`,
  isRetransmitted: true,
  current: (tables, rumor) => ({ topic: 'member', member: tables.members.get(rumor.member.host)?.member ?? rumor.member }),
  merge: (tick, rumor) => {
    if (rumor.member.host === tick.tables.gossip.self.host) return refute(tick, rumor.member)
    return mergeMember(tick, rumor.member)
  },
  all: function * (tables) {
    for (const row of tables.members.rows()) yield { topic: 'member', member: row.member }
  },
  withAddedAge: rumor => rumor
}

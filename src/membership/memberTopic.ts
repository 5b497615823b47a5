/** Rumors about members: newer epochs and incarnations win, then the graver state. */

import type { RumorTick, RumorTopic } from './rumorTopic.js'
import type { Member } from './types.js'

const gravity: Readonly<Record<Member['state'], number>> = { alive: 0, leaving: 1, suspect: 2, dead: 3 }

/** Whether a statement about a member replaces the one that is known. */
export const supersedes = (news: Member, known: Member): boolean => {
  if (news.epoch !== known.epoch) return news.epoch > known.epoch
  if (news.incarnation !== known.incarnation) return news.incarnation > known.incarnation
  return gravity[news.state] > gravity[known.state]
}

// A host that hears itself called suspect or dead answers with a higher incarnation. One whose wall clock has gone
// back since its last life takes an epoch after that life's, or nobody would believe it.
const refute = (tick: RumorTick, news: Member): boolean => {
  const gossip = tick.tables.gossip
  const self = gossip.self
  if (news.epoch > self.epoch) {
    gossip.self = { ...self, epoch: news.epoch + 1 }
    tick.tables.members.put({ member: gossip.self, changedAt: tick.now, index: 0 })
    return true
  }
  if (news.epoch !== self.epoch || news.incarnation < self.incarnation) return false
  if (gravity[news.state] <= gravity[self.state]) return false
  gossip.self = { ...self, incarnation: news.incarnation + 1 }
  tick.tables.members.put({ member: gossip.self, changedAt: tick.now, index: 0 })
  return true
}

/** Takes a statement about a member into the table; true when it was news. */
export const mergeMember = (tick: RumorTick, member: Member): boolean => {
  const known = tick.tables.members.get(member.host)
  if (known !== undefined && !supersedes(member, known.member)) return false
  const index = known?.member.epoch === member.epoch ? known.index : 0
  tick.tables.members.put({ member, changedAt: tick.now, index })
  return true
}

/** The topic of members. */
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

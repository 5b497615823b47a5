/** Rumors that carry committed changes, and the leader's word on which index is the newest. */

import type { Tick } from '../core/tick.js'
import type { RumorTables, RumorTopic } from './rumorTopic.js'
import { applyChange } from '../configuration/applyChange.js'
import type { Change } from '../configuration/types.js'

/** Notes when this host's copy was last the newest that a leader vouched for. */
export const confirmConfiguration = (tables: RumorTables): void => {
  const { gossip, configuration } = tables
  if (gossip.vouch === null || configuration.index < gossip.vouch.index) return
  gossip.confirmedAt = Math.max(gossip.confirmedAt ?? gossip.vouchedAt, gossip.vouchedAt)
}

/** Applies one committed change if it is the next one; true when it was news. */
export const takeChange = (tick: Tick<RumorTables, unknown, unknown>, change: Change): boolean => {
  const { configuration, recentChanges, gossip, withdrawals } = tick.tables
  if (gossip.isAuthority || change.index <= configuration.index) return false
  if (change.index > configuration.index + 1) {
    gossip.fetchAt = Math.min(gossip.fetchAt, tick.now)
    return false
  }
  applyChange(configuration, change)
  recentChanges.add(change)
  confirmConfiguration(tick.tables)
  if (change.envelope?.command.kind === 'withdraw-key') withdrawals.put({ digest: change.envelope.command.digest })
  return true
}

/** The topic of committed changes. */
export const changeTopic: RumorTopic<'change'> = {
  key: rumor => `change/${rumor.change.index}`,
  version: () => '',
  isRetransmitted: true,
  merge: (tick, rumor) => takeChange(tick, rumor.change),
  all: () => [],
  withAddedAge: rumor => rumor
}

/** The topic of vouches; only a newer one of the same or a later term counts. */
export const vouchTopic: RumorTopic<'vouch'> = {
  key: () => 'vouch',
  version: ({ vouch }) => `${vouch.term} ${vouch.sequence}`,
  isRetransmitted: false,
  merge: (tick, rumor) => {
    const { gossip, configuration } = tick.tables
    const known = gossip.vouch
    const news = rumor.vouch
    const isNewer = known === null || news.term > known.term || (news.term === known.term && news.sequence > known.sequence)
    if (!isNewer) return false
    gossip.vouch = news
    gossip.vouchedAt = tick.now - news.ageMs
    if (news.index > configuration.index) gossip.fetchAt = Math.min(gossip.fetchAt, tick.now)
    confirmConfiguration(tick.tables)
    return true
  },
  all: function * (tables, now) {
    const { vouch, vouchedAt } = tables.gossip
    if (vouch !== null) yield { topic: 'vouch', vouch: { ...vouch, ageMs: now - vouchedAt } }
  },
  withAddedAge: (rumor, restedMs) => ({ topic: 'vouch', vouch: { ...rumor.vouch, ageMs: rumor.vouch.ageMs + restedMs } })
}

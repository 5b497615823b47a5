/** Rumors that carry committed configuration changes, and vouches of the leader for the newest committed index. */

import type { HostId } from '../core/id.js'
import type { Millis, Tick } from '../core/tick.js'
import type { RumorTables, RumorTopic } from './rumorTopic.js'
import { applyChange } from '../configuration/applyChange.js'
import type { Change } from '../configuration/types.js'
import type { GossipState } from './types.js'

/** Updates `confirmedAt` if the local configuration includes the index that the leader last vouched for. */
export const confirmConfiguration = (tables: RumorTables): void => {
  const { gossip, configuration } = tables
  if (gossip.vouch === null || configuration.index < gossip.vouch.index) return
  gossip.confirmedAt = Math.max(gossip.confirmedAt ?? gossip.vouchedAt, gossip.vouchedAt)
}

/** Applies a committed change if it is the next one and returns true; schedules a fetch if earlier changes are missing. */
export const applyNextChange = (tick: Tick<RumorTables, unknown, unknown>, change: Change, from: HostId | null): boolean => {
  const { configuration, recentChanges, gossip, withdrawals } = tick.tables
  if (gossip.isAuthority || change.index <= configuration.index) return false
  if (change.index > configuration.index + 1) {
    gossip.fetchAt = Math.min(gossip.fetchAt, tick.now)
    return false
  }
  applyChange(configuration, change)
  gossip.configurationFrom = from
  recentChanges.add(change)
  confirmConfiguration(tick.tables)
  if (change.envelope?.command.kind === 'withdraw-key') withdrawals.put({ digest: change.envelope.command.digest })
  return true
}

/** Topic of committed configuration changes. They are not synchronized by digests: a host fetches those that it missed. */
export const changeTopic: RumorTopic<'change'> = {
  key: rumor => `change/${rumor.change.index}`,
  version: () => '',
  isRetransmitted: true,
  merge: (tick, rumor, from) => applyNextChange(tick, rumor.change, from),
  all: () => [],
  withAddedAge: rumor => rumor
}

// The earliest time at which a message that is read now may have arrived.
const earliestArrival = ({ stall }: GossipState, now: Millis): Millis => now < stall.backlogUntil ? stall.since : now

/** Topic of vouches; a vouch replaces an older one of the same term or any of an earlier term. */
export const vouchTopic: RumorTopic<'vouch'> = {
  key: () => 'vouch',
  version: ({ vouch }) => `${vouch.term} ${vouch.sequence}`,
  isRetransmitted: false,
  merge: (tick, rumor, from) => {
    const { gossip, configuration } = tick.tables
    const known = gossip.vouch
    const incoming = rumor.vouch
    const isNewer = known === null || incoming.term > known.term || (incoming.term === known.term && incoming.sequence > known.sequence)
    if (!isNewer) return false
    gossip.vouch = incoming
    const issuedAt = earliestArrival(gossip, tick.now) - incoming.ageMs
    // A newer vouch was issued after the known one.
    gossip.vouchedAt = known === null ? issuedAt : Math.max(gossip.vouchedAt, issuedAt)
    gossip.vouchedBy = from
    if (incoming.index > configuration.index) gossip.fetchAt = Math.min(gossip.fetchAt, tick.now)
    confirmConfiguration(tick.tables)
    return true
  },
  all: function * (tables, now) {
    const { vouch, vouchedAt } = tables.gossip
    if (vouch !== null) yield { topic: 'vouch', vouch: { ...vouch, ageMs: now - vouchedAt } }
  },
  withAddedAge: (rumor, heldMs) => ({ topic: 'vouch', vouch: { ...rumor.vouch, ageMs: rumor.vouch.ageMs + heldMs } })
}

/** Asks control hosts for a vouch when the usual ones fail to arrive, so that no host depends on being known to its control hosts. */

import type { Millis, System } from '../core/tick.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import type { Dissemination } from './dissemination.js'
import { introduce } from './gossipSteps.js'
import type { GossipInput, GossipOutput, GossipTick } from './gossipSteps.js'

/** Age of the newest vouch from which a host asks for another one; the leader issues one every second. */
export const CONFIRMATION_OVERDUE_MS: Millis = 1_300
/** Minimum time between two questions. */
const ASK_INTERVAL_MS: Millis = 400
/** Added per known member, so that the hosts of a large fleet don't overload the control hosts while these elect a leader. */
const ASK_INTERVAL_PER_MEMBER_MS: Millis = 0.2
/** Age of the newest vouch from which a host counts as partitioned off and asks less often. */
const PARTITIONED_AFTER_MS: Millis = 10_000
const PARTITIONED_ASK_INTERVAL_MS: Millis = 2_000

/** Introduces this host to one control host after the other until a vouch arrives. */
export class ConfirmationSystem implements System<RumorTables, GossipInput, GossipOutput> {
  readonly name = 'confirmation'

  constructor (readonly dissemination: Dissemination) {}

  run (tick: GossipTick): void {
    const { gossip } = tick.tables
    const ageMs = tick.now - gossip.vouchedAt
    if (ageMs < CONFIRMATION_OVERDUE_MS) gossip.askCount = 0
    else if (tick.now >= gossip.nextAskAt) this.#ask(tick, ageMs)
  }

  deadline ({ gossip }: RumorTables): Millis { return Math.max(gossip.vouchedAt + CONFIRMATION_OVERDUE_MS, gossip.nextAskAt) }

  #ask (tick: GossipTick, ageMs: Millis): void {
    const { gossip, members } = tick.tables
    const targets = this.dissemination.confirmationTargets(tick.tables)
    const target = targets[gossip.askCount % Math.max(1, targets.length)]
    const isPartitioned = target === undefined || ageMs > PARTITIONED_AFTER_MS
    gossip.nextAskAt = tick.now + (isPartitioned ? PARTITIONED_ASK_INTERVAL_MS : Math.max(ASK_INTERVAL_MS, members.size * ASK_INTERVAL_PER_MEMBER_MS))
    gossip.askCount += 1
    if (target !== undefined) introduce(tick, target)
  }
}

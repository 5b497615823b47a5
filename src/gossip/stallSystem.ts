/** Notices that this process did not run for a time, so that messages that waited meanwhile do not count as new. */

import type { Millis, System, Tick } from '../core/tick.js'
import type { MembershipTables } from '../membership/types.js'
import type { GossipInput, GossipOutput } from './gossipSteps.js'

/** Longest time between two ticks of a process that runs. */
const TICK_INTERVAL_MS: Millis = 500
/** Time between two ticks from which on the process counts as stalled. */
const MIN_STALL_MS: Millis = 700
/** Time after a stall within which messages may still be read that arrived during it. */
const BACKLOG_MS: Millis = 300

/** Records stalls. Must run before the systems that read messages. */
export class StallSystem implements System<MembershipTables, GossipInput, GossipOutput> {
  readonly name = 'stall'

  run (tick: Tick<MembershipTables, GossipInput, GossipOutput>): void {
    const { stall } = tick.tables.gossip
    if (tick.now - stall.ranAt >= MIN_STALL_MS) {
      // A second stall before the backlog of the first has been read extends it.
      if (stall.ranAt >= stall.backlogUntil) stall.since = stall.ranAt
      stall.backlogUntil = tick.now + BACKLOG_MS
    }
    stall.ranAt = tick.now
  }

  deadline ({ gossip }: MembershipTables): Millis { return gossip.stall.ranAt + TICK_INTERVAL_MS }
}

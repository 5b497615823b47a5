/** Sends fresh news on at once, and tells the control hosts which configuration is in force here. */

import { NEVER } from '../core/tick.js'
import type { Millis, System } from '../core/tick.js'
import { RUMORS_PER_MESSAGE, agedRumor, sendTo } from './gossipSteps.js'
import type { GossipInput, GossipOutput, GossipTick } from './gossipSteps.js'
import type { PeerSelector } from '../membership/peerSelector.js'
import { PROBE_INTERVAL } from './probeSystem.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import { EpidemicReach } from './fanout.js'
import type { Fanout } from './fanout.js'
import type { Rumor } from '../membership/types.js'

/** Times that an index is reported to the control hosts, once with each probe after the first. */
const REPORTS = 4

// Operators ask the control hosts where a change is in force.
const reportIndex = (tick: GossipTick): void => {
  const { gossip, configuration, members } = tick.tables
  if (gossip.isAuthority) return
  if (gossip.reportedIndex !== configuration.index) {
    gossip.reportedIndex = configuration.index
    gossip.reportsLeft = REPORTS
  } else if (gossip.reportsLeft === 0 || gossip.nextProbeAt !== tick.now + PROBE_INTERVAL) {
    return
  }
  gossip.reportsLeft -= 1
  for (const row of members.rows()) {
    if (row.member.role !== 'control' || row.member.state === 'dead') continue
    sendTo(tick, row.member.host, row.member.link, { kind: 'in-force', index: configuration.index })
  }
}

/** Sends the rumors of this tick on at once; it runs last. */
export class SpreadSystem implements System<RumorTables, GossipInput, GossipOutput> {
  readonly name = 'spread'

  constructor (readonly partners: PeerSelector, readonly reach: Fanout = new EpidemicReach(partners)) {}

  run (tick: GossipTick): void {
    reportIndex(tick)
    const fresh: Rumor[] = []
    for (const row of tick.tables.rumors.rows()) {
      if (row.heardAt === tick.now && fresh.length < RUMORS_PER_MESSAGE) fresh.push(agedRumor(row, tick.now))
    }
    if (fresh.length === 0) return
    for (const target of this.reach.targets(tick)) sendTo(tick, target.host, target.link, { kind: 'rumors', rumors: fresh })
    for (const row of [...tick.tables.rumors.rows()]) {
      if (row.remainingSends <= 0) tick.tables.rumors.remove(row.key)
    }
  }

  deadline (): Millis { return NEVER }
}

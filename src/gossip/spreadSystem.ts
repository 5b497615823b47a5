/** Sends new rumors immediately, and reports to the control hosts which configuration index is in force on this host. */

import { NEVER } from '../core/tick.js'
import type { Millis, System } from '../core/tick.js'
import { MAX_RUMORS_PER_MESSAGE, rumorWithCurrentAge, sendTo } from './gossipSteps.js'
import type { GossipInput, GossipOutput, GossipTick } from './gossipSteps.js'
import type { PeerSelector } from '../membership/peerSelector.js'
import { PROBE_INTERVAL_MS } from './probeSystem.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import { EpidemicFanout } from './fanout.js'
import type { Fanout } from './fanout.js'
import type { Rumor } from '../membership/types.js'

/** Number of times that each index is sent to the control hosts, as reports may be lost; repeats are sent with the next probes. */
const SENDS_PER_INDEX_REPORT = 4

// Control hosts use the reports to show operators where a change is in force.
const reportIndex = (tick: GossipTick): void => {
  const { gossip, configuration, members } = tick.tables
  if (gossip.isAuthority) return
  if (gossip.reportedIndex !== configuration.index) {
    gossip.reportedIndex = configuration.index
    gossip.reportsLeft = SENDS_PER_INDEX_REPORT
  } else if (gossip.reportsLeft === 0 || gossip.nextProbeAt !== tick.now + PROBE_INTERVAL_MS) {
    return
  }
  gossip.reportsLeft -= 1
  for (const row of members.rows()) {
    if (row.member.role !== 'control' || row.member.state === 'dead') continue
    sendTo(tick, row.member.host, row.member.link, { kind: 'in-force', index: configuration.index })
  }
}

/** Sends the rumors that were queued in this tick; must run after the systems that queue rumors. */
export class SpreadSystem implements System<RumorTables, GossipInput, GossipOutput> {
  readonly name = 'spread'

  constructor (readonly peerSelector: PeerSelector, readonly fanout: Fanout = new EpidemicFanout(peerSelector)) {}

  run (tick: GossipTick): void {
    reportIndex(tick)
    const newRumors: Rumor[] = []
    for (const row of tick.tables.rumors.rows()) {
      if (row.heardAt === tick.now && newRumors.length < MAX_RUMORS_PER_MESSAGE) newRumors.push(rumorWithCurrentAge(row, tick.now))
    }
    if (newRumors.length === 0) return
    for (const target of this.fanout.targets(tick)) sendTo(tick, target.host, target.link, { kind: 'rumors', rumors: newRumors })
    for (const row of [...tick.tables.rumors.rows()]) {
      if (row.remainingSends <= 0) tick.tables.rumors.remove(row.key)
    }
  }

  deadline (): Millis { return NEVER }
}

/** Epidemic dissemination: every host talks to a few random peers. It needs no full member list, but sends many duplicates. */

import type { Member, Seed } from '../membership/types.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import type { PeerSelector } from '../membership/peerSelector.js'
import { deadMembers, knownControls, liveControls, sample, unknownSeeds } from './dissemination.js'
import type { Dissemination } from './dissemination.js'
import type { GossipTick } from './gossipSteps.js'

/** Members of the own zone that receive a new rumor immediately; it must also spread within a zone that is partitioned off. */
export const SAME_ZONE_FANOUT = 3
/** Members of other zones that receive a new rumor immediately. */
export const OTHER_ZONES_FANOUT = 2

/** Sends rumors to random peers. */
export class EpidemicDissemination implements Dissemination {
  readonly name = 'epidemic'
  readonly batchMs = 0

  constructor (readonly peerSelector: PeerSelector) {}

  // Alternates between the own zone and other zones: in a zone that is partitioned off, rumors must not wait until probes to
  // other zones time out.
  probeTargets (tables: RumorTables, sequence: number): readonly Member[] {
    const { sameZone, otherZones } = this.peerSelector.select(tables)
    const [first, second] = sequence % 2 === 0 ? [sameZone, otherZones] : [otherZones, sameZone]
    return first.length > 0 ? first : second
  }

  syncTargets ({ tables }: GossipTick): readonly Member[] { return this.#peers(tables) }

  unreachableTargets (tables: RumorTables): readonly Seed[] { return [...deadMembers(tables), ...unknownSeeds(tables)] }

  joinTargets ({ gossip }: RumorTables): readonly Seed[] { return gossip.seeds }

  fetchTargets (tables: RumorTables): readonly Member[] { return this.#peers(tables) }

  confirmationTargets (tables: RumorTables): readonly Seed[] { return knownControls(tables) }

  router (tick: GossipTick): () => readonly Member[] {
    const { sameZone, otherZones } = this.peerSelector.select(tick.tables)
    const targets = [...sample(tick, sameZone, SAME_ZONE_FANOUT), ...sample(tick, otherZones, OTHER_ZONES_FANOUT)]
    return () => targets
  }

  isUrgent (): boolean { return true }

  isRetransmitted (): boolean { return true }

  offers (): boolean { return true }

  indexReportTargets (tables: RumorTables): readonly Member[] { return liveControls(tables) }

  #peers (tables: RumorTables): readonly Member[] {
    const { sameZone, otherZones } = this.peerSelector.select(tables)
    return [...sameZone, ...otherZones]
  }
}

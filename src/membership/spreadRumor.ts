/** Queues rumors for the spread system, which sends them at the end of the tick. */

import type { HostId } from '../core/id.js'
import type { RumorTick, RumorTopic } from './rumorTopic.js'
import type { Rumor } from './types.js'

/** A rumor is retransmitted this many times per doubling of the member count (SWIM). */
const RETRANSMIT_MULTIPLIER = 2

// The number of doublings from one to more than the value; exact, unlike a rounded logarithm.
const bitLength = (value: number): number => 32 - Math.clz32(value)

/** Queues a rumor that came from a host, or that this host originates; replaces a queued rumor with the same key. */
export const spreadRumor = <T extends Rumor['topic']>(tick: RumorTick, topic: RumorTopic<T>, rumor: Extract<Rumor, { topic: T }>, from: HostId | null = null): void => {
  const members = tick.tables.members.size
  const remainingSends = topic.isRetransmitted ? RETRANSMIT_MULTIPLIER * bitLength(members) : 0
  tick.tables.rumors.put({ key: topic.key(rumor), rumor, heardAt: tick.now, from, remainingSends })
}

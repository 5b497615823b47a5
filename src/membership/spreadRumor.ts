/** Hands news to the spread system, which sends it on at the end of the tick. */

import type { RumorTick, RumorTopic } from './rumorTopic.js'
import type { Rumor } from './types.js'

const RETRANSMISSIONS_PER_DOUBLING = 2

/** Queues a rumor of a topic. */
export const spreadRumor = <T extends Rumor['topic']>(tick: RumorTick, topic: RumorTopic<T>, rumor: Extract<Rumor, { topic: T }>): void => {
  const members = tick.tables.members.size
  const remaining = topic.isRetransmitted ? RETRANSMISSIONS_PER_DOUBLING * Math.ceil(Math.log2(members + 1)) : 0
  tick.tables.rumors.put({ key: topic.key(rumor), rumor, heardAt: tick.now, remainingSends: remaining })
}

/** Small steps that the parts of gossip share. */

import type { HostId } from '../core/id.js'
import type { Millis, Tick } from '../core/tick.js'
import { topicOf } from './rumorRegistry.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import { spreadRumor } from '../membership/spreadRumor.js'
import { readSyncState } from './syncDigest.js'
import type { Address } from '../core/address.js'
import type { GossipMessage, LinkDropped, MessageReceived, MessageSent, Rumor, RumorRow, Vouch } from '../membership/types.js'

/** Rumors in one message. */
export const RUMORS_PER_MESSAGE = 64

/** Rows that gossip takes. */
export type GossipInput = MessageReceived<GossipMessage> | { readonly kind: 'other' }
/** Rows that gossip gives. */
export type GossipOutput = MessageSent<GossipMessage> | LinkDropped
/** One tick as seen by gossip. */
export type GossipTick = Tick<RumorTables, GossipInput, GossipOutput>

/** Takes rumors in and passes on what was news. */
export const mergeRumors = (tick: GossipTick, rumors: readonly Rumor[]): void => {
  for (const rumor of rumors) {
    const topic = topicOf(rumor)
    if (topic.merge(tick, rumor)) spreadRumor(tick, topic, topic.current?.(tick.tables, rumor) ?? rumor)
  }
}

/** A rumor as it is sent now. */
export const agedRumor = (row: RumorRow, now: Millis): Rumor => topicOf(row.rumor).withAddedAge(row.rumor, now - row.heardAt)

/** Rumors that go along with a probe. */
export const takePendingRumors = (tick: GossipTick): Rumor[] => {
  const taken: Rumor[] = []
  for (const row of [...tick.tables.rumors.rows()]) {
    if (taken.length >= RUMORS_PER_MESSAGE) break
    if (row.remainingSends <= 0) continue
    taken.push(agedRumor(row, tick.now))
    row.remainingSends -= 1
    if (row.remainingSends <= 0) tick.tables.rumors.remove(row.key)
  }
  return taken
}

/** Sends a message to an address. */
export const sendTo = (tick: GossipTick, to: HostId, address: Address, message: GossipMessage): void => {
  tick.emit({ kind: 'send', to, address, message })
}

/** Sends a message to a host that is known as a member. */
export const replyTo = (tick: GossipTick, to: HostId, message: GossipMessage): void => {
  const member = tick.tables.members.get(to)?.member
  if (member !== undefined) sendTo(tick, to, member.link, message)
}

const currentVouch = (tick: GossipTick): Vouch | null => {
  const { vouch, vouchedAt } = tick.tables.gossip
  return vouch === null ? null : { ...vouch, ageMs: tick.now - vouchedAt }
}

/** Sends the digests of what this host knows. */
export const sendSync = (tick: GossipTick, to: HostId, address: Address, reply: boolean): void => {
  const { digests } = readSyncState(tick.tables, tick.now)
  sendTo(tick, to, address, { kind: 'sync', reply, digests, vouch: currentVouch(tick) })
}

/** Operations shared by the gossip systems. */

import type { HostId } from '../core/id.js'
import type { Millis, Tick } from '../core/tick.js'
import { topicOf } from './rumorRegistry.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import { spreadRumor } from '../membership/spreadRumor.js'
import { readSyncState } from './syncDigest.js'
import { UNKNOWN_ADDRESS } from '../core/address.js'
import type { Address } from '../core/address.js'
import type { GossipMessage, LinkDropped, MembershipTables, MessageReceived, MessageSent, Rumor, RumorRow, Seed, Vouch } from '../membership/types.js'

export const MAX_RUMORS_PER_MESSAGE = 64

/** Inbox rows that the gossip systems handle. */
export type GossipInput = MessageReceived<GossipMessage> | { readonly kind: 'other' }
/** Outbox rows that the gossip systems emit. */
export type GossipOutput = MessageSent<GossipMessage> | LinkDropped
export type GossipTick = Tick<RumorTables, GossipInput, GossipOutput>

const doubts = (rumor: Rumor, host: HostId): boolean =>
  rumor.topic === 'member' && rumor.member.host === host && (rumor.member.state === 'suspect' || rumor.member.state === 'dead')

/** Merges rumors from a host into the tables and queues those that changed something for further spreading. */
export const mergeRumors = (tick: GossipTick, rumors: readonly Rumor[], from: HostId): void => {
  for (const rumor of rumors) {
    const topic = topicOf(rumor)
    if (topic.merge(tick, rumor, from)) spreadRumor(tick, topic, topic.current?.(tick.tables, rumor) ?? rumor, from)
    // Rumors are not spread back to where they came from, so the host that doubts this one is answered here.
    const { self } = tick.tables.gossip
    if (doubts(rumor, self.host)) sendReply(tick, from, { kind: 'rumors', rumors: [{ topic: 'member', member: self }] })
  }
}

/** Returns the rumor with its ages increased by the time since it was received. */
export const rumorWithCurrentAge = (row: RumorRow, now: Millis): Rumor => topicOf(row.rumor).withAddedAge(row.rumor, now - row.heardAt)

/** Takes queued rumors to piggyback on a probe or its reply, and counts down their remaining sends. */
export const takePendingRumors = (tick: GossipTick): Rumor[] => {
  const taken: Rumor[] = []
  for (const row of [...tick.tables.rumors.rows()]) {
    if (taken.length >= MAX_RUMORS_PER_MESSAGE) break
    if (row.remainingSends <= 0) continue
    taken.push(rumorWithCurrentAge(row, tick.now))
    row.remainingSends -= 1
    if (row.remainingSends <= 0) tick.tables.rumors.remove(row.key)
  }
  return taken
}

export const sendTo = (tick: GossipTick, to: HostId, address: Address, message: GossipMessage): void => {
  tick.emit({ kind: 'send', to, address, message })
}

/** Sends a message to a host if it is a known member; drops the message otherwise. */
export const sendToMember = (tick: GossipTick, to: HostId, message: GossipMessage): void => {
  const member = tick.tables.members.get(to)?.member
  if (member !== undefined) sendTo(tick, to, member.link, message)
}

/** Answers a message; a host that is not a known member gets the answer only over the link that it has opened. */
export const sendReply = (tick: GossipTick, to: HostId, message: GossipMessage): void => {
  sendTo(tick, to, tick.tables.members.get(to)?.member.link ?? UNKNOWN_ADDRESS, message)
}

/** The newest vouch with its present age; null before the first one. */
export const currentVouch = (tick: GossipTick): Vouch | null => {
  const { vouch, vouchedAt } = tick.tables.gossip
  return vouch === null ? null : { ...vouch, ageMs: tick.now - vouchedAt }
}

/** Starts or answers an anti-entropy exchange by sending the digests of the local state. */
export const sendSync = (tick: GossipTick, to: HostId, address: Address, reply: boolean): void => {
  const { digests } = readSyncState(tick.tables, tick.now)
  sendTo(tick, to, address, { kind: 'sync', reply, digests, vouch: currentVouch(tick) })
}

/** Tells a host which process runs here and asks for its record and its newest vouch. */
export const introduce = (tick: Tick<MembershipTables & { readonly configuration: { readonly index: number } }, unknown, MessageSent<GossipMessage>>, { host, link }: Seed): void => {
  const { gossip, configuration } = tick.tables
  tick.emit({ kind: 'send', to: host, address: link, message: { kind: 'probe', sequence: 0, index: configuration.index, rumors: [{ topic: 'member', member: gossip.self }] } })
}

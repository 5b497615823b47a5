/** Failure detection by probes, repair by synchronisation, and the fetch of missing changes. */

import type { HostId } from '../core/id.js'
import { pick } from '../core/random.js'
import { NEVER } from '../core/tick.js'
import type { Millis, System } from '../core/tick.js'
import { sendSync, sendTo, takePendingRumors } from './gossipSteps.js'
import type { GossipInput, GossipOutput, GossipTick } from './gossipSteps.js'
import { memberTopic, mergeMember } from '../membership/memberTopic.js'
import type { PeerSelector } from '../membership/peerSelector.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import { spreadRumor } from '../membership/spreadRumor.js'
import type { Address } from '../core/address.js'
import type { Member } from '../membership/types.js'

/** Time between two probes of a host. */
export const PROBE_INTERVAL: Millis = 1_000
/** A probe without a reply for this long makes its host a suspect. */
export const PROBE_TIMEOUT: Millis = 1_000
/** A suspect that does not refute for this long counts as dead. */
export const SUSPICION: Millis = 3_000
/** Time between two full synchronisations. */
export const SYNC_INTERVAL: Millis = 5_000
/** The same while a host has no confirmed configuration. */
export const WAITING_SYNC_INTERVAL: Millis = 400
/** A dead member is forgotten after this time. */
export const DEAD_RETENTION: Millis = 600_000
const FETCH_RETRY: Millis = 300

const changeState = (tick: GossipTick, host: HostId, state: 'suspect' | 'dead'): void => {
  const row = tick.tables.members.get(host)
  if (row === undefined || row.member.state === 'dead' || row.member.state === state) return
  const member = { ...row.member, state }
  if (mergeMember(tick, member)) spreadRumor(tick, memberTopic, { topic: 'member', member })
}

/** Probes members, suspects the silent ones and buries those that do not refute. */
export class ProbeSystem implements System<RumorTables, GossipInput, GossipOutput> {
  readonly name = 'probe'

  constructor (readonly partners: PeerSelector) {}

  run (tick: GossipTick): void {
    const gossip = tick.tables.gossip
    this.#expireProbes(tick)
    this.#expireSuspects(tick)
    if (tick.now >= gossip.nextProbeAt) this.#probe(tick)
    if (tick.now >= gossip.nextSyncAt) this.#sync(tick)
    if (tick.now >= gossip.fetchAt && !gossip.isAuthority) this.#fetch(tick)
  }

  deadline (tables: RumorTables): Millis {
    const { nextProbeAt, nextSyncAt, fetchAt, isAuthority } = tables.gossip
    return Math.min(nextProbeAt, nextSyncAt, isAuthority ? NEVER : fetchAt)
  }

  #expireProbes (tick: GossipTick): void {
    for (const probe of [...tick.tables.probes.rows()]) {
      if (tick.now - probe.sentAt < PROBE_TIMEOUT) continue
      tick.tables.probes.remove(probe.host)
      tick.emit({ kind: 'drop-link', to: probe.host })
      changeState(tick, probe.host, 'suspect')
    }
  }

  #expireSuspects (tick: GossipTick): void {
    for (const row of tick.tables.members.group('suspect')) {
      if (tick.now - row.changedAt >= SUSPICION) changeState(tick, row.member.host, 'dead')
    }
    for (const row of tick.tables.members.group('dead')) {
      if (tick.now - row.changedAt >= DEAD_RETENTION) tick.tables.members.remove(row.member.host)
    }
  }

  #probe (tick: GossipTick): void {
    const { gossip, probes, configuration } = tick.tables
    gossip.nextProbeAt = tick.now + PROBE_INTERVAL
    gossip.sequence += 1
    const target = pick(tick.random, this.#probeTargets(tick, gossip.sequence))
    if (target === undefined || probes.has(target.host)) return
    probes.put({ host: target.host, sequence: gossip.sequence, sentAt: tick.now })
    sendTo(tick, target.host, target.link, { kind: 'probe', sequence: gossip.sequence, index: configuration.index, rumors: takePendingRumors(tick) })
  }

  // Every other probe stays in the zone, so that news crosses a cut zone without waiting for far probes to fail.
  #probeTargets (tick: GossipTick, sequence: number): readonly Member[] {
    const { sameZone: near, otherZones: far } = this.partners.select(tick.tables)
    const [first, second] = sequence % 2 === 0 ? [near, far] : [far, near]
    return first.length > 0 ? first : second
  }

  // Dead members and seeds are tried too: after a partition heals, nobody else would speak first.
  #sync (tick: GossipTick): void {
    const { gossip, members } = tick.tables
    const { sameZone: near, otherZones: far } = this.partners.select(tick.tables)
    const isAlone = near.length + far.length === 0
    // Without a confirmed configuration nobody is served, so it asks again and again until it has one.
    const isWaiting = gossip.confirmedAt === null && !gossip.isAuthority
    const lost: Array<{ host: HostId, link: Address }> = members.group('dead').map(row => row.member)
    for (const seed of gossip.seeds) {
      if (!members.has(seed.host)) lost.push(seed)
    }
    const triesLost = lost.length > 0 && (isAlone || tick.random.below(2) === 0)
    const others = triesLost ? lost : [...near, ...far]
    gossip.nextSyncAt = tick.now + (isWaiting ? WAITING_SYNC_INTERVAL : isAlone ? PROBE_INTERVAL : SYNC_INTERVAL)
    const target = pick(tick.random, others)
    if (target === undefined) return
    // Seeds may be down, so a host that knows nobody asks all of them.
    for (const seed of isAlone || isWaiting ? gossip.seeds : []) {
      if (seed.host !== target.host) this.#introduce(tick, seed.host, seed.link)
    }
    this.#introduce(tick, target.host, target.link)
  }

  #introduce (tick: GossipTick, host: HostId, link: Address): void {
    sendTo(tick, host, link, { kind: 'rumors', rumors: [{ topic: 'member', member: tick.tables.gossip.self }] })
    sendSync(tick, host, link, false)
  }

  #fetch (tick: GossipTick): void {
    const { gossip, configuration } = tick.tables
    const newest = gossip.vouch?.index ?? 0
    gossip.fetchAt = newest > configuration.index ? tick.now + FETCH_RETRY : NEVER
    const { sameZone: near, otherZones: far } = this.partners.select(tick.tables)
    const target = pick(tick.random, [...near, ...far])
    if (target !== undefined) sendTo(tick, target.host, target.link, { kind: 'fetch', after: configuration.index })
  }
}

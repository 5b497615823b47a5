/** Failure detection by probes (SWIM), anti-entropy by digest synchronization, and the fetch of missing configuration changes. */

import type { HostId } from '../core/id.js'
import { pick } from '../core/random.js'
import { NEVER } from '../core/tick.js'
import type { Millis, System } from '../core/tick.js'
import { sendSync, sendTo, takePendingRumors } from './gossipSteps.js'
import type { GossipInput, GossipOutput, GossipTick } from './gossipSteps.js'
import { memberTopic, mergeMember } from '../membership/memberTopic.js'
import type { Dissemination } from './dissemination.js'
import type { LogIndex } from '../configuration/types.js'
import type { Member } from '../membership/types.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import { spreadRumor } from '../membership/spreadRumor.js'
import type { Address } from '../core/address.js'

/** Interval at which a host probes one of its peers. */
export const PROBE_INTERVAL_MS: Millis = 1_000
/** A host that doesn't reply to a probe within this time becomes a suspect. */
export const PROBE_TIMEOUT_MS: Millis = 1_000
/** A suspect that doesn't refute the suspicion within this time counts as dead. */
export const SUSPECT_TIMEOUT_MS: Millis = 3_000
export const SYNC_INTERVAL_MS: Millis = 5_000
/** Interval between synchronizations while a host has no confirmed configuration and can't serve requests. */
export const UNCONFIRMED_SYNC_INTERVAL_MS: Millis = 400
/** Number of synchronizations at that interval of a host that knows no backend server, after which it waits longer each time. */
const SERVERLESS_SYNCS = 8
/** Time after which a dead member is removed from the member table. */
export const DEAD_MEMBER_RETENTION_MS: Millis = 600_000
const FETCH_RETRY_INTERVAL_MS: Millis = 300

const setMemberState = (tick: GossipTick, host: HostId, state: 'suspect' | 'dead'): void => {
  const row = tick.tables.members.get(host)
  if (row === undefined || row.member.state === 'dead' || row.member.state === state) return
  const member = { ...row.member, state }
  if (mergeMember(tick, member)) spreadRumor(tick, memberTopic, { topic: 'member', member })
}

// Such a host can't serve requests.
const knowsNoServer = ({ tables }: GossipTick): boolean => !tables.gossip.isAuthority && tables.backends.size === 0

/** Probes members, marks unresponsive ones as suspect and then dead, and synchronizes with peers. */
export class ProbeSystem implements System<RumorTables, GossipInput, GossipOutput> {
  readonly name = 'probe'
  /** Fetches since the configuration last advanced, and its index at that time. */
  #fetchCount = 0
  #fetchedAfter: LogIndex = -1
  /** Synchronizations since the host last knew a backend server. */
  #serverlessSyncCount = 0

  constructor (readonly dissemination: Dissemination) {}

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
      if (tick.now - probe.sentAt < PROBE_TIMEOUT_MS) continue
      tick.tables.probes.remove(probe.host)
      // The probe went to an earlier process of the host.
      if (tick.tables.members.get(probe.host)?.member.epoch !== probe.epoch) continue
      tick.emit({ kind: 'drop-link', to: probe.host })
      setMemberState(tick, probe.host, 'suspect')
    }
  }

  #expireSuspects (tick: GossipTick): void {
    for (const row of tick.tables.members.group('suspect')) {
      if (tick.now - row.changedAt >= SUSPECT_TIMEOUT_MS) setMemberState(tick, row.member.host, 'dead')
    }
    for (const row of tick.tables.members.group('dead')) {
      if (tick.now - row.changedAt >= DEAD_MEMBER_RETENTION_MS) tick.tables.members.remove(row.member.host)
    }
  }

  #probe (tick: GossipTick): void {
    const { gossip, probes, configuration } = tick.tables
    gossip.nextProbeAt = tick.now + PROBE_INTERVAL_MS
    gossip.sequence += 1
    const target = pick(tick.random, this.dissemination.probeTargets(tick.tables, gossip.sequence))
    if (target === undefined || probes.has(target.host)) return
    probes.put({ host: target.host, epoch: target.epoch, sequence: gossip.sequence, sentAt: tick.now })
    sendTo(tick, target.host, target.link, { kind: 'probe', sequence: gossip.sequence, index: configuration.index, rumors: takePendingRumors(tick) })
  }

  // Also contacts dead members and unknown seeds: after a partition heals, neither side would otherwise contact the other.
  #sync (tick: GossipTick): void {
    const { gossip } = tick.tables
    const peers = this.dissemination.syncTargets(tick)
    const isAlone = peers.length === 0
    // A host without a confirmed configuration serves no requests, so it synchronizes more often until it has one.
    const isUnconfirmed = gossip.confirmedAt === null && !gossip.isAuthority
    const unreachable = this.dissemination.unreachableTargets(tick.tables)
    const triesUnreachable = unreachable.length > 0 && (isAlone || (!knowsNoServer(tick) && tick.random.below(2) === 0))
    const candidates = triesUnreachable ? unreachable : peers
    gossip.nextSyncAt = tick.now + (isUnconfirmed ? UNCONFIRMED_SYNC_INTERVAL_MS : isAlone ? PROBE_INTERVAL_MS : this.#syncInterval(tick))
    const target = pick(tick.random, candidates)
    if (target === undefined) return
    // Some seeds may be down, so a host that knows no members or waits for its configuration contacts all of them.
    for (const seed of isAlone || isUnconfirmed ? this.dissemination.joinTargets(tick.tables) : []) {
      if (seed.host !== target.host) this.#startSync(tick, seed.host, seed.link)
    }
    this.#startSync(tick, target.host, target.link)
  }

  // A peer in another region tells nothing about servers.
  #syncInterval (tick: GossipTick): Millis {
    if (!knowsNoServer(tick)) {
      this.#serverlessSyncCount = 0
      return SYNC_INTERVAL_MS
    }
    this.#serverlessSyncCount += 1
    const doublings = Math.max(0, this.#serverlessSyncCount - SERVERLESS_SYNCS)
    return Math.min(SYNC_INTERVAL_MS, UNCONFIRMED_SYNC_INTERVAL_MS * 2 ** doublings)
  }

  #startSync (tick: GossipTick, host: HostId, link: Address): void {
    sendTo(tick, host, link, { kind: 'rumors', rumors: [{ topic: 'member', member: tick.tables.gossip.self }] })
    sendSync(tick, host, link, false)
  }

  #fetch (tick: GossipTick): void {
    const { gossip, configuration } = tick.tables
    const newest = gossip.vouch?.index ?? 0
    gossip.fetchAt = newest > configuration.index ? tick.now + FETCH_RETRY_INTERVAL_MS : NEVER
    if (configuration.index !== this.#fetchedAfter) this.#fetchCount = 0
    this.#fetchedAfter = configuration.index
    const target = this.#fetchTarget(tick)
    this.#fetchCount += 1
    if (target !== undefined) sendTo(tick, target.host, target.link, { kind: 'fetch', after: configuration.index })
  }

  // The host that sent the newest vouch has the changes or soon will, whatever others say of it. Should it not answer, hosts
  // farther and farther away are asked in turn with it: those nearby may lack the same changes.
  #fetchTarget ({ tables, random }: GossipTick): Member | undefined {
    const { vouchedBy } = tables.gossip
    const vouching = vouchedBy === null ? undefined : tables.members.get(vouchedBy)?.member
    const round = Math.floor(this.#fetchCount / 2)
    if (vouching !== undefined && this.#fetchCount % 2 === 0) return vouching
    return pick(random, this.dissemination.fetchTargets(tables, round))
  }
}

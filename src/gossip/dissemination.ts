/** Policies that choose which hosts a host probes, synchronizes with and sends rumors to. */

import type { HostId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { Member, Rumor, RumorRow, Seed } from '../membership/types.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import type { GossipTick } from './gossipSteps.js'

/** Decides between which hosts gossip travels. */
export interface Dissemination {
  readonly name: string
  /** Time for which rumors that can wait are collected into one message. */
  readonly batchMs: Millis
  /** Members of which one is probed next; `sequence` counts the probes. */
  probeTargets (tables: RumorTables, sequence: number): readonly Member[]
  /** Members of which one is synchronized with next. */
  syncTargets (tick: GossipTick): readonly Member[]
  /** Hosts that are tried although they are dead or unknown, so that both sides of a healed partition find each other. */
  unreachableTargets (tables: RumorTables): readonly Seed[]
  /** Seeds that are contacted along with the chosen host while this host has no members or no confirmed configuration. */
  joinTargets (tables: RumorTables): readonly Seed[]
  /** Members of which one is asked for missing configuration changes; `round` counts the ones asked before in vain. */
  fetchTargets (tables: RumorTables, round: number): readonly Member[]
  /** Control hosts, or hosts that may know some, that are asked in turn for a vouch. */
  confirmationTargets (tables: RumorTables): readonly Seed[]
  /** Returns the function that gives the members to which each of the new rumors is sent. */
  router (tick: GossipTick): (row: RumorRow) => readonly Member[]
  /** Whether a rumor must not wait for others. */
  isUrgent (rumor: Rumor): boolean
  /** Whether a rumor is sent again with later probes. */
  isRetransmitted (rumor: Rumor): boolean
  /** Whether this host sends a rumor to a member that lacks it, when the two synchronize. */
  offers (self: Member, to: Member, rumor: Rumor): boolean
  /** Control hosts that are told which configuration is in force on this host. */
  indexReportTargets (tables: RumorTables): readonly Member[]
}

/** Returns up to `limit` random members of a list. */
export const sample = (tick: GossipTick, members: readonly Member[], limit: number): Member[] => {
  const candidates = [...members]
  const drawn: Member[] = []
  while (drawn.length < limit && candidates.length > 0) drawn.push(...candidates.splice(tick.random.below(candidates.length), 1))
  return drawn
}

/** Seeds that are not members yet. */
export const unknownSeeds = ({ gossip, members }: Pick<RumorTables, 'gossip' | 'members'>): Seed[] => gossip.seeds.filter(seed => !members.has(seed.host))

/** Dead members, as hosts to contact. */
export const deadMembers = ({ members }: RumorTables): Member[] => members.group('dead').map(row => row.member)

/** Control hosts that are not known to be dead. */
export const liveControls = ({ members, gossip }: RumorTables): Member[] => {
  const controls: Member[] = []
  for (const { member } of members.rows()) {
    if (member.role === 'control' && member.state !== 'dead' && member.host !== gossip.self.host) controls.push(member)
  }
  return controls
}

/** Control hosts not known to be dead, then the dead ones, as they may have started again, and seeds that are not members yet. */
export const knownControls = (tables: RumorTables): readonly Seed[] => {
  const dead = deadMembers(tables).filter(member => member.role === 'control')
  return [...liveControls(tables), ...dead, ...unknownSeeds(tables)]
}

/** Removes a host from a list of members. */
export const without = (members: readonly Member[], host: HostId | null): readonly Member[] =>
  host === null ? members : members.filter(member => member.host !== host)

/** Interface of rumor topics; each topic defines how its rumors are identified, merged and sent. */

import type { HostId } from '../core/id.js'
import type { Tick, Millis } from '../core/tick.js'
import type { Configuration } from '../configuration/configurationTables.js'
import type { AnnouncementTables } from '../announcement/types.js'
import type { SuspicionTables } from '../suspicion/types.js'
import type { KeyTables } from '../key-check/types.js'
import type { MembershipTables, Rumor } from './types.js'

/** Tables that rumor topics read and change. */
export type RumorTables = MembershipTables & AnnouncementTables & KeyTables & SuspicionTables & {
  readonly configuration: Configuration
  readonly recentChanges: import('../configuration/recentChanges.js').RecentChanges
}

export type RumorTick = Tick<RumorTables, unknown, unknown>

/** Defines how the rumors of one topic are identified, merged and sent. */
export interface RumorTopic<T extends Rumor['topic']> {
  key (rumor: Extract<Rumor, { topic: T }>): string
  /** Differs between any two distinct rumors with the same key. */
  version (rumor: Extract<Rumor, { topic: T }>): string
  /** Whether the rumor is sent again with later probes; false for rumors that are soon replaced by newer ones. */
  readonly isRetransmitted: boolean
  /** Returns the rumor to forward after a merge; without this method the merged rumor itself is forwarded. */
  current? (tables: RumorTables, rumor: Extract<Rumor, { topic: T }>): Rumor
  /** Merges the rumor that a host has sent into the tables; returns whether it changed anything and should be forwarded. */
  merge (tick: RumorTick, rumor: Extract<Rumor, { topic: T }>, from: HostId | null): boolean
  /** Returns all rumors that take part in digest synchronization. */
  all (tables: RumorTables, now: Millis): Iterable<Rumor>
  /** Returns the rumor with its ages increased by the time that it was held on this host. */
  withAddedAge (rumor: Extract<Rumor, { topic: T }>, heldMs: Millis): Rumor
}

/** What may spread between hosts: one small definition for each topic, behind one typed interface. */

import type { Tick, Millis } from '../core/tick.js'
import type { Configuration } from '../configuration/configurationTables.js'
import type { AnnouncementTables } from '../announcement/types.js'
import type { SuspicionTables } from '../suspicion/types.js'
import type { KeyTables } from '../key-check/types.js'
import type { MembershipTables, Rumor } from './types.js'

/** Tables that rumors change. */
export type RumorTables = MembershipTables & AnnouncementTables & KeyTables & SuspicionTables & {
  readonly configuration: Configuration
  readonly recentChanges: import('../configuration/recentChanges.js').RecentChanges
}

/** One tick as seen by a rumor topic. */
export type RumorTick = Tick<RumorTables, unknown, unknown>

/** How rumors of one topic are told apart, taken in and repeated. */
export interface RumorTopic<T extends Rumor['topic']> {
  key (rumor: Extract<Rumor, { topic: T }>): string
  /** Differs whenever two statements under the same key do. */
  version (rumor: Extract<Rumor, { topic: T }>): string
  /** Whether the rumor is sent again with later probes; one that is soon replaced is not. */
  readonly isRetransmitted: boolean
  /** What this host passes on in place of a rumor that it has taken in; the rumor itself when absent. */
  current? (tables: RumorTables, rumor: Extract<Rumor, { topic: T }>): Rumor
  /** Takes the rumor in; true when it was news and should be passed on. */
  merge (tick: RumorTick, rumor: Extract<Rumor, { topic: T }>): boolean
  /** Everything that a full synchronisation repeats. */
  all (tables: RumorTables, now: Millis): Iterable<Rumor>
  /** The rumor as it is sent now, after it has rested here for a while. */
  withAddedAge (rumor: Extract<Rumor, { topic: T }>, restedMs: Millis): Rumor
}

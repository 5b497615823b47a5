/** Digests of what a host knows, so that two hosts that agree exchange a few bytes instead of everything. */

import { crc32 } from 'node:zlib'
import type { Millis } from '../core/tick.js'
import { topicOf } from './rumorRegistry.js'
import type { RumorTables, RumorTopic } from '../membership/rumorTopic.js'
import type { Rumor } from '../membership/types.js'

/** Buckets that differ are sent whole. */
export const SYNC_BUCKETS = 32

const syncedTopics: ReadonlyArray<RumorTopic<Rumor['topic']>> = [
  topicOf({ topic: 'member' } as Rumor),
  topicOf({ topic: 'announcement' } as Rumor),
  topicOf({ topic: 'withdrawal' } as Rumor),
  topicOf({ topic: 'suspicion' } as Rumor)
]

/** What a host knows, in buckets with a digest each. */
export interface SyncState { readonly digests: readonly number[], readonly buckets: ReadonlyArray<readonly Rumor[]> }

/** Sorts everything that is synchronised into buckets. */
export const readSyncState = (tables: RumorTables, now: Millis): SyncState => {
  const buckets: Rumor[][] = Array.from({ length: SYNC_BUCKETS }, () => [])
  const digests: number[] = Array.from({ length: SYNC_BUCKETS }, () => 0)
  for (const topic of syncedTopics) {
    for (const rumor of topic.all(tables, now)) {
      const key = topic.key(rumor)
      const bucket = crc32(key) % SYNC_BUCKETS
      buckets[bucket]?.push(rumor)
      // Order does not matter: the digests of the parts are added.
      digests[bucket] = ((digests[bucket] ?? 0) + crc32(`${key} ${topic.version(rumor)}`)) >>> 0
    }
  }
  return { digests, buckets }
}

/** The rumors of every bucket in which two hosts differ. */
export const differingRumors = (state: SyncState, theirs: readonly number[]): Rumor[] => {
  const rumors: Rumor[] = []
  for (const [bucket, digest] of state.digests.entries()) {
    if (theirs[bucket] !== digest) rumors.push(...state.buckets[bucket] ?? [])
  }
  return rumors
}

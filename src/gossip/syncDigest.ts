/** Digests for anti-entropy: hosts compare one digest per bucket and only send the buckets that differ. */

import { crc32 } from 'node:zlib'
import type { Millis } from '../core/tick.js'
import { topicOf } from './rumorRegistry.js'
import type { RumorTables, RumorTopic } from '../membership/rumorTopic.js'
import type { Rumor } from '../membership/types.js'

/** Number of buckets; every bucket whose digests differ is sent completely. */
export const SYNC_BUCKETS = 32

const syncedTopics: ReadonlyArray<RumorTopic<Rumor['topic']>> = [
  topicOf({ topic: 'member' } as Rumor),
  topicOf({ topic: 'announcement' } as Rumor),
  topicOf({ topic: 'withdrawal' } as Rumor),
  topicOf({ topic: 'suspicion' } as Rumor)
]

/** All synchronized rumors of a host in buckets, with one digest per bucket. */
export interface SyncState { readonly digests: readonly number[], readonly buckets: ReadonlyArray<readonly Rumor[]> }

/** Distributes all synchronized rumors over the buckets and computes their digests. */
export const readSyncState = (tables: RumorTables, now: Millis): SyncState => {
  const buckets: Rumor[][] = Array.from({ length: SYNC_BUCKETS }, () => [])
  const digests: number[] = Array.from({ length: SYNC_BUCKETS }, () => 0)
  for (const topic of syncedTopics) {
    for (const rumor of topic.all(tables, now)) {
      const key = topic.key(rumor)
      const bucket = crc32(key) % SYNC_BUCKETS
      buckets[bucket]?.push(rumor)
      // Checksums are added up, so the digest doesn't depend on the order of the rumors.
      digests[bucket] = ((digests[bucket] ?? 0) + crc32(`${key} ${topic.version(rumor)}`)) >>> 0
    }
  }
  return { digests, buckets }
}

/** Returns the local rumors of all buckets whose digests differ from those of the peer. */
export const differingRumors = (state: SyncState, peerDigests: readonly number[]): Rumor[] => {
  const rumors: Rumor[] = []
  for (const [bucket, digest] of state.digests.entries()) {
    if (peerDigests[bucket] !== digest) rumors.push(...state.buckets[bucket] ?? [])
  }
  return rumors
}

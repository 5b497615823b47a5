/** Estimates the memory that log entries take, by which the log is compacted and messages are cut. */

import { estimateCommandBytes } from '../plan/planSize.js'
import type { Entry } from './types.js'

/** Estimated size of an entry, in bytes. */
export const estimateEntryBytes = ({ payload }: Entry): number =>
  estimateCommandBytes(payload.kind === 'command' ? payload.envelope : null)

/** Returns how many entries from the first one stay within a size, in bytes. */
export const countWithin = (entries: Iterable<Entry>, maxBytes: number): number => {
  let bytes = 0
  let count = 0
  for (const entry of entries) {
    bytes += estimateEntryBytes(entry)
    if (bytes > maxBytes) break
    count += 1
  }
  return count
}

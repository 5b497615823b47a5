/** Invariant: in any time window, all hosts together admit at most rate times window plus burst requests of a workspace. */

import type { Millis } from '../core/tick.js'

/** One granted token, with the time at which the request was admitted. */
export interface Grant { readonly admittedAt: Millis }

const MS_PER_SECOND = 1_000
const EPSILON = 1e-6

/** Returns the largest excess of grants over rate and burst in any window, found by replaying all grants through one token bucket. */
export const maxGrantsOverLimit = (grants: readonly Grant[], rate: number, burst: number): number => {
  const sorted = grants.map(grant => grant.admittedAt).sort((a, b) => a - b)
  let level = 0
  let last = sorted[0] ?? 0
  let maxExcess = 0
  for (const at of sorted) {
    level = Math.max(0, level - rate * (at - last) / MS_PER_SECOND) + 1
    last = at
    maxExcess = Math.max(maxExcess, level - burst)
  }
  return maxExcess > EPSILON ? maxExcess : 0
}

/** Invariant: no workspace gets more than its rate and burst, over all hosts together and over every window. */

import type { Millis } from '../core/tick.js'

/** One grant, at the time at which the request was admitted. */
export interface Grant { readonly admittedAt: Millis }

const MS_PER_SECOND = 1_000
const EPSILON = 1e-6

/** The most grants over rate and burst in any window; a token bucket over all of them finds the worst one. */
export const maxGrantsOverLimit = (grants: readonly Grant[], rate: number, burst: number): number => {
  const sorted = grants.map(grant => grant.admittedAt).sort((a, b) => a - b)
  let level = 0
  let last = sorted[0] ?? 0
  let worst = 0
  for (const at of sorted) {
    level = Math.max(0, level - rate * (at - last) / MS_PER_SECOND) + 1
    last = at
    worst = Math.max(worst, level - burst)
  }
  return worst > EPSILON ? worst : 0
}

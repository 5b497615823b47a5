/** Time to other regions and back, learned from probes. */

import type { RegionId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { GossipState } from './types.js'

/** Taken for the way to another region until a probe has come back. */
const FIRST_GUESS: Millis = 100
const FOLLOW = 0.3

/** Learns from a probe that came back. */
export const noteRoundTrip = (gossip: GossipState, region: RegionId, tookMs: Millis): void => {
  const known = gossip.roundTrips.get(region)
  // A slow reply tells of a busy host rather than of the way, so the estimate falls faster than it rises.
  if (known === undefined || tookMs < known) gossip.roundTrips.set(region, tookMs)
  else gossip.roundTrips.set(region, known + Math.min(tookMs - known, known) * FOLLOW * FOLLOW)
}

/** Time to a region and back. */
export const roundTripTime = (gossip: GossipState, region: RegionId): Millis => {
  if (region === gossip.self.region) return 0
  return gossip.roundTrips.get(region) ?? FIRST_GUESS
}

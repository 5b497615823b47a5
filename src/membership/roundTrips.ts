/** Round-trip times to other regions, estimated from probes. */

import type { RegionId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { GossipState } from './types.js'

/** Assumed round-trip time to another region until the first probe reply arrives. */
const DEFAULT_ROUND_TRIP_MS: Millis = 100
const SMOOTHING_FACTOR = 0.3

/** Updates the estimate for a region with the round-trip time of a probe. */
export const recordRoundTrip = (gossip: GossipState, region: RegionId, roundTripMs: Millis): void => {
  const known = gossip.roundTrips.get(region)
  // A slow reply usually indicates a busy host rather than a slow path: the estimate drops at once and rises slowly.
  if (known === undefined || roundTripMs < known) gossip.roundTrips.set(region, roundTripMs)
  else gossip.roundTrips.set(region, known + Math.min(roundTripMs - known, known) * SMOOTHING_FACTOR * SMOOTHING_FACTOR)
}

/** Returns the estimated round-trip time to a region; 0 within the own region. */
export const roundTripTime = (gossip: GossipState, region: RegionId): Millis => {
  if (region === gossip.self.region) return 0
  return gossip.roundTrips.get(region) ?? DEFAULT_ROUND_TRIP_MS
}

/** Ways to choose a backend server among those that may be used. */

import type { Warmth } from '../affinity/types.js'
import { pick } from '../core/random.js'
import type { Millis } from '../core/tick.js'
import type { BackendRow } from '../announcement/types.js'
import { busyAt } from './candidates.js'
import type { BackendChoice, ChoiceInput, WorkEstimate } from './types.js'

/** The baseline: any server, whatever its load or place. */
export class RandomChoice implements BackendChoice {
  readonly name = 'random'

  choose (input: ChoiceInput): BackendRow | undefined { return pick(input.random, input.candidates) }
}

const load = (row: BackendRow): number => row.inFlight / row.announcement.slots

/** Two random servers of the nearest zone that has any, and the less loaded of them: herds form less easily than behind the minimum. */
export class PowerOfTwoChoices implements BackendChoice {
  readonly name = 'two-choices'

  choose (input: ChoiceInput): BackendRow | undefined {
    const near = input.candidates.filter(row => row.announcement.zone === input.self.zone)
    const pool = near.length > 0 ? near : input.candidates
    const first = pick(input.random, pool)
    const second = pick(input.random, pool)
    if (first === undefined || second === undefined) return undefined
    return load(second) < load(first) ? second : first
  }
}

/** A wait counts more than the same time on the way: other hosts see the same server and may choose it at the same moment. */
const WAIT_WEIGHT = 2
/** Price of an answer from another availability zone, as time. */
const ZONE_PRICE_MS = 30
/** Price of an answer from another region beside the time on the way, as time. */
const REGION_PRICE_MS = 25
/** Part of the saving by a known object that a server is credited with, by how likely it knows the object. */
const CREDIT: Readonly<Record<Warmth, number>> = { known: 1, home: 0.8, none: 0 }
/** Memory of a server's slowness without news. */
const SLOWNESS_MEMORY: Millis = 4_000
/** A server this much slower than others is treated as slow; below that, chance differs as much. */
const NOTABLE_SLOWNESS = 1.6

/** The server that is likely to answer first: the way there, the wait for a slot, and whether it knows the object. */
export class ExpectedLatency implements BackendChoice {
  readonly name = 'expected-latency'

  choose (input: ChoiceInput): BackendRow | undefined {
    let best: BackendRow | undefined
    let least = Number.POSITIVE_INFINITY
    for (const row of input.candidates) {
      // An object that wanders makes servers forget those they know, and each of them takes several times longer.
      const warmth = input.warmthAt(row)
      if (input.isParticular && warmth === 'none') continue
      // A random part breaks ties, so that hosts with the same view do not all pick the same server.
      const cost = this.#cost(input, row, warmth) + input.random.unit()
      if (cost >= least) continue
      least = cost
      best = row
    }
    return best
  }

  #cost (input: ChoiceInput, row: BackendRow, warmth: Warmth): Millis {
    const { work, now } = input
    return this.#distance(input, row) + expectedWait(row, work.meanMs, now) * WAIT_WEIGHT + expectedWork(row, work, warmth, now) + load(row)
  }

  #distance (input: ChoiceInput, row: BackendRow): Millis {
    const { zone, region } = row.announcement
    if (zone === input.self.zone) return 0
    if (region === input.self.region) return ZONE_PRICE_MS
    return input.roundTrip(region) + REGION_PRICE_MS
  }
}

/** How many times longer a server takes than others do; 1 for an ordinary one. */
export const slownessOf = (row: BackendRow, now: Millis): number => {
  const slowness = 1 + (row.slowness - 1) * Math.exp((row.slownessUpdatedAt - now) / SLOWNESS_MEMORY)
  return slowness < NOTABLE_SLOWNESS ? 1 : slowness
}

/** Time until a slot is free for one more request, in milliseconds. */
export const expectedWait = (row: BackendRow, meanMs: Millis, now: Millis): Millis => {
  const ahead = busyAt(row, now) + 1 - row.announcement.slots
  return ahead <= 0 ? 0 : ahead / row.announcement.slots * meanMs * slownessOf(row, now)
}

/** Time that a request takes once it has a slot, in milliseconds. */
export const expectedWork = (row: BackendRow, { warmMs, coldMs }: WorkEstimate, warmth: Warmth, now: Millis): Millis =>
  (coldMs - (coldMs - warmMs) * CREDIT[warmth]) * slownessOf(row, now)

/** Policies that choose a backend server among the candidates. */

import type { ObjectAffinity } from '../affinity/types.js'
import { remainingFraction } from '../core/decay.js'
import { pick } from '../core/random.js'
import type { Millis } from '../core/tick.js'
import type { BackendRow } from '../announcement/types.js'
import { estimateOutstanding } from './candidates.js'
import type { BackendChoice, ChoiceInput, WorkEstimate } from './types.js'

/** Baseline: a random candidate, regardless of load and location. */
export class RandomChoice implements BackendChoice {
  readonly name = 'random'
  readonly weighsDistance = false

  choose (input: ChoiceInput): BackendRow | undefined { return pick(input.random, input.candidates) }
}

const slotUsage = (row: BackendRow): number => row.inFlight / row.announcement.slots

/** Power of two choices: the less loaded of two random servers of this host's zone, or of all if the zone has none. Hosts that all chose the least loaded server would overload it together. */
export class PowerOfTwoChoices implements BackendChoice {
  readonly name = 'two-choices'
  readonly weighsDistance = false

  choose (input: ChoiceInput): BackendRow | undefined {
    const inZone = input.candidates.filter(row => row.announcement.zone === input.self.zone)
    const pool = inZone.length > 0 ? inZone : input.candidates
    const first = pick(input.random, pool)
    const second = pick(input.random, pool)
    if (first === undefined || second === undefined) return undefined
    return slotUsage(second) < slotUsage(first) ? second : first
  }
}

/** Weight of queueing time against network time. Other hosts see the same server and may choose it at the same moment. */
const QUEUE_WAIT_WEIGHT = 2
/** Latency penalty for a server in another availability zone. */
const CROSS_ZONE_PENALTY_MS = 30
/** Latency penalty for a server in another region, in addition to the round trip. */
const CROSS_REGION_PENALTY_MS = 25
/** Fraction of the time saved by a cached object that is expected, by how likely the server has it cached. */
const CACHE_SAVING_FRACTION: Readonly<Record<ObjectAffinity, number>> = { known: 1, home: 0.8, spare: 0.5, none: 0 }
/** Time constant with which a server's slowness decays towards 1 without new samples. */
const SLOWNESS_TIME_CONSTANT_MS: Millis = 4_000
/** Slowness below which a server counts as normal; smaller differences are random variation. */
const SLOWNESS_THRESHOLD = 1.6

/** The server with the lowest expected latency: network distance, wait for a slot, and work time with or without a cached object. */
export class ExpectedLatency implements BackendChoice {
  readonly name = 'expected-latency'
  readonly weighsDistance = true

  choose (input: ChoiceInput): BackendRow | undefined {
    let best: BackendRow | undefined
    let lowestCost = Number.POSITIVE_INFINITY
    for (const row of input.candidates) {
      // Servers without affinity to the object are skipped. Sending it to more servers evicts other objects from their caches,
      // and requests for those then take several times longer.
      const affinity = input.affinityOf(row)
      if (input.concernsObject && affinity === 'none') continue
      // A random part breaks ties, so that hosts with the same data do not all choose the same server.
      const cost = this.#cost(input, row, affinity) + input.random.unit()
      if (cost >= lowestCost) continue
      lowestCost = cost
      best = row
    }
    return best
  }

  #cost (input: ChoiceInput, row: BackendRow, affinity: ObjectAffinity): Millis {
    const { work, now } = input
    return this.#distance(input, row) + expectedWait(row, work.meanMs, now) * QUEUE_WAIT_WEIGHT + expectedWork(row, work, affinity, now) + slotUsage(row)
  }

  #distance (input: ChoiceInput, row: BackendRow): Millis {
    const { zone, region } = row.announcement
    if (zone === input.self.zone) return 0
    if (region === input.self.region) return CROSS_ZONE_PENALTY_MS
    return input.roundTrip(region) + CROSS_REGION_PENALTY_MS
  }
}

/** Returns how many times longer than expected a server takes; 1 for a normal server. */
export const currentSlowness = (row: BackendRow, now: Millis): number => {
  const slowness = 1 + (row.slowness - 1) * remainingFraction(now - row.slownessUpdatedAt, SLOWNESS_TIME_CONSTANT_MS)
  return slowness < SLOWNESS_THRESHOLD ? 1 : slowness
}

/** Returns the expected wait for a free slot, in milliseconds. */
export const expectedWait = (row: BackendRow, meanMs: Millis, now: Millis): Millis => {
  const ahead = estimateOutstanding(row, now) + 1 - row.announcement.slots
  return ahead <= 0 ? 0 : ahead / row.announcement.slots * meanMs * currentSlowness(row, now)
}

/** Returns the expected work time of a request once it has a slot, in milliseconds. */
export const expectedWork = (row: BackendRow, { warmMs, coldMs }: WorkEstimate, affinity: ObjectAffinity, now: Millis): Millis =>
  (coldMs - (coldMs - warmMs) * CACHE_SAVING_FRACTION[affinity]) * currentSlowness(row, now)

/** Ways to choose a backend server among those that may be used. */

import { pick } from '../core/random.js'
import { rendezvousWeight } from '../core/rendezvous.js'
import type { Millis } from '../core/tick.js'
import type { BackendRow } from '../announcement/types.js'
import { busyAt } from './candidates.js'
import type { BackendChoice, ChoiceInput } from './types.js'

/** The baseline: any server, whatever its load or place. */
export class RandomChoice implements BackendChoice {
  readonly name = 'random'

  choose (input: ChoiceInput): BackendRow | undefined { return pick(input.random, input.candidates) }
}

const load = (row: BackendRow): number => row.inFlight / row.announcement.slots

/** Two random servers of the nearest zone that has any, and the less loaded of them: herds form less easily than behind the minimum. */
export class TwoChoices implements BackendChoice {
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
const ZONE_PRICE_MS = 15
/** Price of an answer from another region beside the time on the way, as time. */
const REGION_PRICE_MS = 30
/** Part of the work that a server saves for an object which it has handled lately. */
const WARM_PART = 0.5

/** The server that is likely to answer first: the way there, the wait for a slot, and whether it knows the object. */
export class ExpectedLatency implements BackendChoice {
  readonly name = 'expected-latency'

  choose (input: ChoiceInput): BackendRow | undefined {
    const home = this.#findHome(input)
    let best: BackendRow | undefined
    let least = Number.POSITIVE_INFINITY
    for (const row of input.candidates) {
      const isHome = row === home
      // A random part breaks ties, so that hosts with the same view do not all pick the same server.
      const cost = this.#cost(input, row, isHome) + input.random.unit()
      if (cost >= least) continue
      least = cost
      best = row
    }
    return best
  }

  #cost (input: ChoiceInput, row: BackendRow, isHome: boolean): Millis {
    const { announcement } = row
    const missed = input.affinity === null || isHome ? 0 : input.workMs * WARM_PART
    return this.#distance(input, row) + expectedWait(row, input.workMs, input.now) * WAIT_WEIGHT + missed + load(row) * announcement.slots
  }

  #distance (input: ChoiceInput, row: BackendRow): Millis {
    const { zone, region } = row.announcement
    if (zone === input.self.zone) return 0
    if (region === input.self.region) return ZONE_PRICE_MS
    return input.roundTrip(region) + REGION_PRICE_MS
  }

  // Every host names the same server of the region for an object, as long as it sees the same servers.
  #findHome (input: ChoiceInput): BackendRow | undefined {
    if (input.affinity === null) return undefined
    let home: BackendRow | undefined
    let greatest = -1
    for (const row of input.candidates) {
      if (row.announcement.zone !== input.self.zone) continue
      const weight = rendezvousWeight(input.affinity, row.key)
      if (weight <= greatest) continue
      greatest = weight
      home = row
    }
    return home
  }
}

/** Time until a slot is free for one more request, in milliseconds. */
export const expectedWait = (row: BackendRow, workMs: Millis, now: Millis): Millis => {
  const ahead = busyAt(row, now) + 1 - row.announcement.slots
  return ahead <= 0 ? 0 : ahead / row.announcement.slots * workMs
}

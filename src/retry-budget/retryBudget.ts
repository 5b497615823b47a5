/** Ways to bound retries. */

import type { ServiceId } from '../core/id.js'
import type { RetryBudget, RetryCause } from './types.js'

/** Retries that are saved up at most. */
export const SAVED_RETRIES = 50
/** Retries that each success earns. */
const RETRIES_PER_SUCCESS = 0.2

/** The baseline: successes earn retries; a shed is paced by its server's pause instead. */
export class HostRetryBudget implements RetryBudget {
  readonly name = 'saved-up'
  #left = SAVED_RETRIES

  noteFirst (): void {}

  noteSuccess (): void { this.#left = Math.min(SAVED_RETRIES, this.#left + RETRIES_PER_SUCCESS) }

  take (_service: ServiceId, cause: RetryCause): boolean {
    if (cause === 'shed') return true
    if (this.#left < 1) return false
    this.#left -= 1
    return true
  }
}

/** A budget of the whole fleet: in any span, a part of first sends and a fixed number beyond it. */
export interface FleetRetryLimits {
  /** Retries that each first send earns. */
  readonly ratio: number
  /** Retries of a service beyond that, of all entry hosts together. */
  readonly slack: number
}

/**
 * A bucket for each service: first sends earn retries, and what is saved up never passes this host's part of the slack,
 * so in any span the hosts together stay within the fleet's budget without talking to each other.
 */
export class FleetRetryBudget implements RetryBudget {
  readonly name = 'shared'
  readonly #saved = new Map<ServiceId, number>()

  constructor (readonly terms: FleetRetryLimits) {}

  noteFirst (service: ServiceId): void {
    this.#saved.set(service, (this.#saved.get(service) ?? 0) + this.terms.ratio)
  }

  noteSuccess (): void {}

  take (service: ServiceId, _cause: RetryCause, hosts: number): boolean {
    const saved = Math.min(this.#saved.get(service) ?? 0, this.terms.slack / Math.max(1, hosts))
    const isGranted = saved >= 1
    this.#saved.set(service, isGranted ? saved - 1 : saved)
    return isGranted
  }
}

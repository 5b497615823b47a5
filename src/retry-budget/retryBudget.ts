/** Retry budgets that limit the retries of one host or of the whole fleet. */

import type { ServiceId } from '../core/id.js'
import type { RetryBudget, RetryCause } from './types.js'

/** Maximum number of saved retries. */
export const MAX_SAVED_RETRIES = 50
/** Retries that each successful request adds. */
const RETRIES_PER_SUCCESS = 0.2

/** Baseline: a token bucket on each host, refilled by successful requests. Retries after a shed are not limited here, but by the server's backoff. */
export class HostRetryBudget implements RetryBudget {
  readonly name = 'saved-up'
  #tokens = MAX_SAVED_RETRIES

  countFirstSend (): void {}

  countSuccess (): void { this.#tokens = Math.min(MAX_SAVED_RETRIES, this.#tokens + RETRIES_PER_SUCCESS) }

  take (_service: ServiceId, cause: RetryCause): boolean {
    if (cause === 'shed') return true
    if (this.#tokens < 1) return false
    this.#tokens -= 1
    return true
  }
}

/** Retry limits of the whole fleet. In any period, retries are limited to a fraction of first sends plus a fixed number. */
export interface FleetRetryLimits {
  /** Retries that each first send adds. */
  readonly ratio: number
  /** Additional retries of a service, shared by all entry hosts. */
  readonly slack: number
}

/**
 * A token bucket for each service, refilled by first sends and capped at this host's share of the slack. All hosts together
 * therefore stay within the limits of the fleet in any period, without coordination.
 */
export class FleetRetryBudget implements RetryBudget {
  readonly name = 'shared'
  readonly #tokensByService = new Map<ServiceId, number>()

  constructor (readonly terms: FleetRetryLimits) {}

  countFirstSend (service: ServiceId): void {
    this.#tokensByService.set(service, (this.#tokensByService.get(service) ?? 0) + this.terms.ratio)
  }

  countSuccess (): void {}

  take (service: ServiceId, _cause: RetryCause, hosts: number): boolean {
    const tokens = Math.min(this.#tokensByService.get(service) ?? 0, this.terms.slack / Math.max(1, hosts))
    const isGranted = tokens >= 1
    this.#tokensByService.set(service, isGranted ? tokens - 1 : tokens)
    return isGranted
  }
}

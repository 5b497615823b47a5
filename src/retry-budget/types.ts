/** Types of retry budgets, which limit retries so that they do not overload a failing service. */

import type { ServiceId } from '../core/id.js'

/** Why a request is retried. */
export type RetryCause = 'shed' | 'failure'

/** A limit on retries. */
export interface RetryBudget {
  readonly name: string
  /** Counts a request that is sent for the first time. */
  countFirstSend (service: ServiceId): void
  /** Counts an answer that was completed. */
  countSuccess (): void
  /** Takes one retry from the budget; returns false if none is left. `hosts` is the number of entry hosts that share the budget. */
  take (service: ServiceId, cause: RetryCause, hosts: number): boolean
}

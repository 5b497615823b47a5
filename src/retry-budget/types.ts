/** Retry budgets: what a host may send a second time without overloading a service that is in trouble. */

import type { ServiceId } from '../core/id.js'

/** Why a request is to be sent again. */
export type RetryCause = 'shed' | 'failure'

/** Bounds on retries. */
export interface RetryBudget {
  readonly name: string
  /** Counts a request that is sent for the first time. */
  countFirstSend (service: ServiceId): void
  /** Counts an answer to the end. */
  countSuccess (): void
  /** Takes one retry; false when there is none left. The number of entry hosts divides what all of them share. */
  take (service: ServiceId, cause: RetryCause, hosts: number): boolean
}

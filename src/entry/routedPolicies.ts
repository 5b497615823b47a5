/** The policies of entry hosts that serve requests by route. */

import type { AllowanceTolerance } from '../admission/allowanceShare.js'
import type { FleetRetryLimits } from '../retry-budget/retryBudget.js'
import type { PolicySettings } from './entryWorld.js'

/** Fraction of the retry budget that is used, because hosts may temporarily see different fleet sizes. */
const RETRY_BUDGET_FRACTION = 0.7

/** Returns the policies for a retry budget and the tolerated excess over rate limits. A request is sent once under its id, so no idempotency records are kept on other hosts. */
export const routedPolicies = ({ ratio, slack }: FleetRetryLimits, tolerance?: AllowanceTolerance): PolicySettings => ({
  allowance: 'frugal-lending',
  choice: 'expected-latency',
  queue: 'ranked-max-min',
  records: 'none',
  suspicion: 'shared',
  shift: 'capped',
  retryBudget: { ratio: ratio * RETRY_BUDGET_FRACTION, slack: slack * RETRY_BUDGET_FRACTION },
  tolerance
})

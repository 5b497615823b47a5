/** The policies of entry hosts whose requests come by routes. */

import type { FleetRetryLimits } from '../retry-budget/retryBudget.js'
import type { PolicySettings } from './entryWorld.js'

/** Part of the retry slack that is used, since hosts may disagree for a while on how many they are. */
const SLACK_PART = 0.7

/** Policies under a budget of retries; a request is sent once under its id, so no record of it is kept elsewhere. */
export const routedPolicies = ({ ratio, slack }: FleetRetryLimits): PolicySettings => ({
  allowance: 'frugal-lending',
  choice: 'expected-latency',
  queue: 'ranked-max-min',
  records: 'none',
  suspicion: 'shared',
  shift: 'capped',
  retryBudget: { ratio: ratio * SLACK_PART, slack: slack * SLACK_PART }
})

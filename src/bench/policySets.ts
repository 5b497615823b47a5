/** Named policy sets that the benchmarks compare. */

import { defaultPolicies } from '../entry/entryWorld.js'
import type { EntryPolicies } from '../entry/entryWorld.js'
import { FixedPartPolicy } from '../admission/allowancePolicy.js'
import { RandomChoice } from '../backend-choice/backendChoice.js'
import { FifoQueue } from '../exchange/queuePolicy.js'
import { NoRecords } from '../idempotency/recordPlacement.js'
import { HostRetryBudget } from '../retry-budget/retryBudget.js'
import { UncappedShift } from '../shift/shiftPolicy.js'
import { NoSuspicion } from '../suspicion/suspicionPolicy.js'

/** Policy sets by name: the shipped policies, all baseline policies together, and single baseline policies. */
export const policySets: Readonly<Record<string, () => EntryPolicies>> = {
  shipped: defaultPolicies,
  baseline: () => ({ allowance: new FixedPartPolicy(), choice: new RandomChoice(), queue: new FifoQueue(), records: new NoRecords(), suspicion: new NoSuspicion(), shift: new UncappedShift(), retries: new HostRetryBudget() }),
  'fixed-part': () => ({ ...defaultPolicies(), allowance: new FixedPartPolicy() }),
  'random-choice': () => ({ ...defaultPolicies(), choice: new RandomChoice() }),
  'first-come': () => ({ ...defaultPolicies(), queue: new FifoQueue() }),
  uncapped: () => ({ ...defaultPolicies(), shift: new UncappedShift() })
}

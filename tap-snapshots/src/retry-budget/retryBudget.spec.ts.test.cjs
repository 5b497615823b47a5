/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/retry-budget/retryBudget.spec.ts > TAP > without a fleet-wide budget, retries after sheds are free and retries after failures are limited > must match snapshot 1`] = `
Object {
  "afterOneSuccess": false,
  "granted": 50,
}
`

/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/exchange/rankDemand.spec.ts > TAP > the urgent fraction follows the requests of the last seconds > must match snapshot 1`] = `
Object {
  "later": 0,
  "mostUrgent": 0,
  "oneInFour": 0.25,
  "withoutRequests": 0,
}
`

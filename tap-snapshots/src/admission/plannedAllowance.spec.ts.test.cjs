/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/admission/plannedAllowance.spec.ts > TAP > the shares of all hosts add up to the whole limit at any rate > holders by rate 1`] = `
Object {
  "1": 3,
  "100": 12,
  "1000": 24,
  "40": 6,
}
`

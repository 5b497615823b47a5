/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/suspicion/containment.spec.ts > TAP > a request that crashes servers runs on at most three of them, whichever hosts it arrives at > GET 1`] = `
Array [
  "refused attempt-failed (unknown)",
  "refused crash-suspect (not-run)",
  "refused crash-suspect (not-run)",
  "refused crash-suspect (not-run)",
  "refused crash-suspect (not-run)",
  "refused crash-suspect (not-run)",
  "refused crash-suspect (not-run)",
  "refused crash-suspect (not-run)",
]
`

exports[`src/suspicion/containment.spec.ts > TAP > a request that crashes servers runs on at most three of them, whichever hosts it arrives at > POST 1`] = `
Array [
  "refused outcome-unknown (unknown)",
  "refused outcome-unknown (unknown)",
  "refused outcome-unknown (unknown)",
  "refused crash-suspect (not-run)",
  "refused crash-suspect (not-run)",
  "refused crash-suspect (not-run)",
  "refused crash-suspect (not-run)",
  "refused crash-suspect (not-run)",
]
`

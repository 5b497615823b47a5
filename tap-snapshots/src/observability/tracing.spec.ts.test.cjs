/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/observability/tracing.spec.ts > TAP > requests and look-ups give spans below the span of the caller, and the backend server gets W3C headers > must match snapshot 1`] = `
Array [
  "admission",
  "attempt",
  "choice",
  "lookup",
  "request coupons",
]
`

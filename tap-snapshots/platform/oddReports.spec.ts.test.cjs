/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/oddReports.spec.ts > TAP > odd entries name no server > must match snapshot 1`] = `
Object {
  "a clock that is a minute ahead": "ok",
  "a deeply nested field": "error",
  "a deeply nested unknown field": "ok",
  "a number that is too large": "error",
  "a start an hour ago": "ok",
  "a start in the far future": "error",
  "deeply nested": "error",
  "no IP address": "error",
  "port 0": "error",
  "port 65536": "error",
}
`

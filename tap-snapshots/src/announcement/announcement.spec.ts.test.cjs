/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/announcement/announcement.spec.ts > TAP > keeps a server that is gone while a request runs there, without a deadline that stays due > must match snapshot 1`] = `
Object {
  "inFlight": 1,
  "state": "gone",
}
`

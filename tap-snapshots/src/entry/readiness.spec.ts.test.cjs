/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/entry/readiness.spec.ts > TAP > a host is ready once it has a configuration, an available server and refilling token buckets > must match snapshot 1`] = `
Object {
  "after": true,
  "beforeLoansEnd": false,
  "leaving": false,
  "withAnother": true,
  "withoutServer": false,
}
`

/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/exchange/overload.spec.ts > TAP > a host that is short of CPU time refuses new requests at once > must match snapshot 1`] = `
Object {
  "atOnce": "admitted",
  "atTheLimit": "admitted",
  "behind": "overloaded",
  "late": "overloaded",
}
`

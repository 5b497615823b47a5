/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/server-notice/serverNotices.spec.ts > TAP > nothing that is heard of a server that has left brings it back in its epoch > must match snapshot 1`] = `
Object {
  "a new epoch": "up",
  "a newer announcement": "draining",
  "a report of a control host": "draining",
  "an older announcement": "draining",
  "gone, then a newer announcement": "gone",
  "gone, then a report": "gone",
}
`

/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/replicated-log/diskStore.spec.ts > TAP > a replica is created only once in a folder > must match snapshot 1`] = `
Object {
  "error": Object {
    "kind": "already-founded",
  },
  "tag": "error",
}
`

exports[`src/replicated-log/diskStore.spec.ts > TAP > a snapshot replaces the log and keeps the vote > must match snapshot 1`] = `
term 4, vote c1#0, snapshot 3, entries 4@1 5@1
`

exports[`src/replicated-log/diskStore.spec.ts > TAP > written records are read back, and a later entry replaces a conflicting one > must match snapshot 1`] = `
term 2, vote none, snapshot none, entries 1@0 2@1 3@2
`

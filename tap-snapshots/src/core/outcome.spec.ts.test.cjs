/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/core/outcome.spec.ts > TAP > successes and failures are tagged values 1`] = `
Object {
  "fail": Object {
    "error": Object {
      "kind": "x",
    },
    "tag": "error",
  },
  "ok": Object {
    "tag": "ok",
    "value": 1,
  },
}
`

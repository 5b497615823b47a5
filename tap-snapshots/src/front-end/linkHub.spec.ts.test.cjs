/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/front-end/linkHub.spec.ts > TAP > a process without the fleet key, or with another host id than expected, is rejected > must match snapshot 1`] = `
Object {
  "b": Array [
    "dialler failed to prove its identity",
  ],
  "c": Array [
    "listener failed to prove its identity",
  ],
  "received": Array [],
}
`

exports[`src/front-end/linkHub.spec.ts > TAP > hosts with a common fleet key exchange messages in both directions, also during a key rotation > must match snapshot 1`] = `
Object {
  "a": Array [
    Object {
      "from": "b",
      "message": Object {
        "after": 4,
        "kind": "fetch",
      },
    },
  ],
  "b": Array [
    Object {
      "from": "a",
      "message": Object {
        "after": 3,
        "kind": "fetch",
      },
    },
  ],
}
`

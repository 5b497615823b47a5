/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/core/world.spec.ts > TAP > a table keeps its rows, group index and revision up to date > must match snapshot 1`] = `
Object {
  "first": Object {
    "group": "y",
    "id": "a",
  },
  "revision": 3,
  "size": 2,
  "x": Array [
    Object {
      "group": "x",
      "id": "b",
    },
  ],
  "y": Array [
    Object {
      "group": "y",
      "id": "a",
    },
  ],
}
`

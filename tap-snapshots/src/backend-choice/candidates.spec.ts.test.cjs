/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/backend-choice/candidates.spec.ts > TAP > a peak that a server has reported counts only until its requests have been answered > must match snapshot 1`] = `
Object {
  "constantlyFull": Array [
    11,
    10.7,
    10,
    8.2,
    4.7,
  ],
  "lull": Array [
    1,
    4.7,
    6.2,
    5.3,
    3.2,
  ],
  "noReport": Array [
    1,
  ],
  "peak": Array [
    21,
    10,
    4.5,
    3.2,
    2.1,
  ],
  "peakAtSlowServer": Array [
    21,
    18.8,
    15.1,
    7.6,
    2.4,
  ],
}
`

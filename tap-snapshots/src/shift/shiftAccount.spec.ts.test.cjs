/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/shift/shiftAccount.spec.ts > TAP > while half of the requests are refused, the cap holds for those that run > of 100 that run in each window 1`] = `
Array [
  0,
  15,
  30,
]
`

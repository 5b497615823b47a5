/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/replicated-log/automaticGroup.spec.ts > TAP > a read needs the confirmation of a quorum > must match snapshot 1`] = `
Array [
  "vouched",
  "not-leader",
  "outcome-unknown",
]
`

exports[`src/replicated-log/automaticGroup.spec.ts > TAP > of eighteen control hosts in nine zones one votes in each zone, and another of the zone replaces it when it stays dead > must match snapshot 1`] = `
Object {
  "learners": 9,
  "zones": Array [
    "z0",
    "z1",
    "z2",
    "z3",
    "z4",
    "z5",
    "z6",
    "z7",
    "z8",
  ],
}
`

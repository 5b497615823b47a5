/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/shift/shift.spec.ts > TAP > when a region loses its servers, traffic moves away and back under the cap > capped 1`] = `
Array [
  "away 0 %, refused 0 %",
  "away 18 %, refused 82 %",
  "away 36 %, refused 64 %",
  "away 56 %, refused 44 %",
  "away 76 %, refused 24 %",
  "away 96 %, refused 4 %",
  "away 98 %, refused 2 %",
  "away 100 %, refused 0 %",
  "away 82 %, refused 0 %",
  "away 60 %, refused 0 %",
  "away 40 %, refused 0 %",
  "away 20 %, refused 0 %",
  "away 0 %, refused 0 %",
  "away 0 %, refused 0 %",
]
`

exports[`src/shift/shift.spec.ts > TAP > when a region loses its servers, traffic moves away and back under the cap > uncapped 1`] = `
Array [
  "away 0 %, refused 0 %",
  "away 94 %, refused 6 %",
  "away 100 %, refused 0 %",
  "away 100 %, refused 0 %",
  "away 100 %, refused 0 %",
  "away 100 %, refused 0 %",
  "away 100 %, refused 0 %",
  "away 100 %, refused 0 %",
  "away 10 %, refused 0 %",
  "away 0 %, refused 0 %",
  "away 0 %, refused 0 %",
  "away 0 %, refused 0 %",
  "away 0 %, refused 0 %",
  "away 0 %, refused 0 %",
]
`

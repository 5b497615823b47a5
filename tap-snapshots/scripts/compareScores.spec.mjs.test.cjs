/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`scripts/compareScores.spec.mjs > TAP > a day that is lower, given up, broken or left out is a finding > must match snapshot 1`] = `
Array [
  Object {
    "after": 0.871,
    "before": 0.9,
    "day": "quiet-1",
    "findings": Array [],
  },
  Object {
    "after": 0.47,
    "before": 0.5,
    "day": "trouble-1",
    "findings": Array [
      "lower",
    ],
  },
  Object {
    "after": 0.6,
    "before": 0.5,
    "day": "trouble-2",
    "findings": Array [
      "CONFIG broken",
    ],
  },
  Object {
    "after": 0.1,
    "before": 0.4,
    "day": "scale-1",
    "findings": Array [
      "fault: too slow",
    ],
  },
  Object {
    "after": 0.1,
    "before": null,
    "day": "fresh-2",
    "findings": Array [],
  },
  Object {
    "after": 0.2,
    "before": 0.3,
    "day": "trouble-3",
    "findings": Array [],
  },
  Object {
    "after": null,
    "before": 0.4,
    "day": "scale-2",
    "findings": Array [
      "not played",
    ],
  },
]
`

/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/admission/lending.spec.ts > TAP > ignores duplicate, late and unsolicited grants > must match snapshot 1`] = `
Object {
  "asks": true,
  "late": false,
  "once": true,
  "twice": false,
  "unasked": false,
}
`

exports[`src/admission/lending.spec.ts > TAP > refills up to the burst and spends whole tokens only > must match snapshot 1`] = `
Object {
  "earned": Array [
    5,
    5,
    5,
  ],
  "spent": Array [
    true,
    true,
    true,
    true,
    true,
    false,
    false,
  ],
}
`

exports[`src/admission/lending.spec.ts > TAP > reports the unspent tokens of an expired credit to its lender > must match snapshot 1`] = `
Object {
  "first": Array [
    Object {
      "ask": "a",
      "unspent": 0.5,
    },
    Object {
      "ask": "b",
      "unspent": 1,
    },
  ],
  "second": Array [
    Object {
      "ask": "c",
      "unspent": 1,
    },
  ],
  "served": true,
  "third": Array [],
}
`

exports[`src/admission/lending.spec.ts > TAP > tokens that are lent count against the burst until the loan expires or is settled > a duplicate settlement is ignored 1`] = `
Object {
  "blocked": 2,
  "full": 5,
  "settled": 3,
}
`

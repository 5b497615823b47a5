/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/affinity/affinity.spec.ts > TAP > an object has its preferred servers in the zone if it has enough servers, else in the region, else in any region > must match snapshot 1`] = `
Object {
  "elsewhere": Object {
    "far": "s/m1-1",
    "first": "s/m1-2",
    "second": undefined,
  },
  "none": Object {
    "far": undefined,
    "first": undefined,
    "second": undefined,
  },
  "region": Object {
    "far": "s/m1-2",
    "first": "s/n1-2",
    "second": undefined,
  },
  "zone": Object {
    "far": "s/m1-2",
    "first": "s/n1-2",
    "second": "s/n1-1",
  },
}
`

exports[`src/affinity/affinity.spec.ts > TAP > objects are distributed over healthy servers, and over all servers in service if none is healthy > must match snapshot 1`] = `
Object {
  "all": Array [
    "a",
    "b",
    "c",
    "d",
  ],
  "noneSound": Array [
    "a",
    "b",
    "c",
    "d",
  ],
  "withoutEjectedAndCold": Array [
    "c",
    "d",
  ],
}
`

/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/plan/plan.spec.ts > TAP > allows only regions that both the route and the workspace allow > must match snapshot 1`] = `
Object {
  "apart": "no-region",
  "both": Object {
    "affinity": "object",
    "allowedRegions": Array [
      "s",
    ],
    "attemptsAllowed": 2,
    "idempotent": true,
    "rank": 201,
    "route": "r",
    "routeRank": 1,
    "targetMs": 300,
    "timeoutMs": 1000,
  },
  "routeOnly": Object {
    "affinity": "object",
    "allowedRegions": Array [
      "n",
      "s",
    ],
    "attemptsAllowed": 2,
    "idempotent": true,
    "rank": 201,
    "route": "r",
    "routeRank": 1,
    "targetMs": 300,
    "timeoutMs": 1000,
  },
}
`

exports[`src/plan/plan.spec.ts > TAP > rejects invalid plans > must match snapshot 1`] = `
Array [
  Object {
    "kind": "prefix-without-slash",
    "route": "r",
  },
  Object {
    "kind": "no-weight",
    "route": "r",
  },
  Object {
    "kind": "place-twice",
    "route": "q",
  },
  Object {
    "kind": "name-twice",
    "name": "r",
  },
]
`

exports[`src/plan/plan.spec.ts > TAP > the highest plan version is in force, and keys and services that it does not contain are removed > must match snapshot 1`] = `
Object {
  "document": "text 4",
  "keys": Array [
    Object {
      "digest": "digest-1",
      "state": "given",
      "workspace": "w",
    },
    Object {
      "digest": "digest-2",
      "state": "given",
      "workspace": "w",
    },
  ],
  "older": Object {
    "tag": "ok",
    "value": Object {
      "index": 2,
      "version": 4,
    },
  },
  "other": Object {
    "tag": "ok",
    "value": Object {
      "index": 3,
      "version": 4,
    },
  },
  "services": Array [
    Object {
      "openPaths": Array [],
      "profile": "plan",
      "profileVersion": 4,
      "service": "s",
      "timeoutMs": 1000,
      "version": 4,
      "warmup": Object {
        "coldMs": 1000,
        "ratePerS": 5,
      },
    },
  ],
}
`

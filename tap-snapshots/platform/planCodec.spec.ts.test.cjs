/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/planCodec.spec.ts > TAP > a configuration document is decoded into a plan > must match snapshot 1`] = `
Object {
  "document": 1035,
  "routes": Array [
    Object {
      "allowedRegions": Array [],
      "attempts": 2,
      "authority": "shop.example",
      "hasAffinity": true,
      "isOpen": false,
      "prefix": "/read/",
      "rank": 1,
      "repetition": "idempotent",
      "route": "read",
      "split": Array [
        Object {
          "service": "calendar",
          "weight": 1,
        },
      ],
      "targetMs": 300,
      "timeoutMs": 1500,
    },
    Object {
      "allowedRegions": Array [],
      "attempts": 2,
      "authority": "shop.example",
      "hasAffinity": false,
      "isOpen": true,
      "prefix": "/write/",
      "rank": 0,
      "repetition": "at-most-once",
      "route": "write",
      "split": Array [
        Object {
          "service": "calendar",
          "weight": 1,
        },
      ],
      "targetMs": 300,
      "timeoutMs": 1500,
    },
  ],
  "services": Array [
    Object {
      "connections": 100,
      "healthPath": "/health",
      "service": "calendar",
      "warmup": Object {
        "coldMs": 1000,
        "ratePerS": 10,
      },
    },
  ],
  "terms": Object {
    "allowedRegions": Array [],
    "drainMs": 10000,
    "shiftCap": 0.2,
    "shiftWindowMs": 60000,
    "staleAfterMs": 5000,
    "whenCutOff": "serve",
  },
  "version": 7,
  "workspaces": Array [
    Object {
      "allowedRegions": Array [],
      "burst": 1000,
      "keys": Array [
        "34a16141bd6fb7e1e61844d8fe7507818e24af4f84c004ce0c9fdecdf2ad19a6",
      ],
      "rank": 1,
      "rate": 1000,
      "workspace": "w",
    },
  ],
}
`

exports[`platform/planCodec.spec.ts > TAP > each kind of invalid configuration document is rejected with its reason > must match snapshot 1`] = `
Object {
  "badVersion": Object {
    "kind": "unreadable",
    "reason": "version: Invalid string: must match pattern /^r[0-9]{1,15}$/",
  },
  "barePrefix": Object {
    "kind": "prefix-without-slash",
    "route": "read",
  },
  "cutShort": Object {
    "kind": "unreadable",
    "reason": ": Invalid input: expected object, received undefined",
  },
  "empty": Object {
    "kind": "unreadable",
    "reason": ": Invalid input: expected object, received undefined",
  },
  "noAttempts": Object {
    "kind": "no-attempts",
    "route": "read",
  },
  "noService": Object {
    "kind": "no-weight",
    "route": "read",
  },
  "notAnObject": Object {
    "kind": "unreadable",
    "reason": ": Invalid input: expected object, received array",
  },
  "noTimeout": Object {
    "kind": "unreadable",
    "reason": "resources.0.spec.timeoutMs: Too small: expected number to be >0",
  },
  "noWeight": Object {
    "kind": "no-weight",
    "route": "read",
  },
  "oddKind": Object {
    "kind": "unreadable",
    "reason": "resources.0.spec.type: Invalid option: expected one of \\"idempotent\\"|\\"non_idempotent\\"",
  },
  "oddResource": Object {
    "kind": "unreadable",
    "reason": "resources.5.resourceType: Invalid discriminator value. Expected 'routes' | 'services' | 'tenants' | 'limits'",
  },
  "samePlace": Object {
    "kind": "place-twice",
    "route": "copy",
  },
  "sharedKey": Object {
    "kind": "key-shared",
    "workspace": "v",
  },
  "targetOverTimeout": Object {
    "kind": "target-over-timeout",
    "route": "read",
  },
  "unknownService": Object {
    "kind": "service-unknown",
    "route": "read",
    "service": "nobody",
  },
}
`

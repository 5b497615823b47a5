/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/reportCodec.spec.ts > TAP > valid reports are decoded into announcements, and invalid ones are rejected > must match snapshot 1`] = `
Object {
  "addressWithoutPort": Object {
    "error": Object {
      "kind": "report-malformed",
      "reason": "address: Invalid string: must match pattern /^[0-9.]+:[0-9]{1,5}$/",
    },
    "tag": "error",
  },
  "draining": Object {
    "tag": "ok",
    "value": Object {
      "backend": "i-1",
      "coldMs": 250,
      "epoch": 1700000000000,
      "region": "riga",
      "sequence": 4,
      "service": "x",
      "slots": 6,
      "state": "draining",
      "target": Object {
        "address": "10.1.0.9",
        "port": 8080,
      },
      "zone": "riga-a",
    },
  },
  "good": Object {
    "tag": "ok",
    "value": Object {
      "backend": "i-1",
      "coldMs": 250,
      "epoch": 1700000000000,
      "region": "riga",
      "sequence": 4,
      "service": "x",
      "slots": 6,
      "state": "up",
      "target": Object {
        "address": "10.1.0.9",
        "port": 8080,
      },
      "zone": "riga-a",
    },
  },
  "noStart": Object {
    "error": Object {
      "kind": "report-malformed",
      "reason": "born: Invalid input: expected number, received undefined",
    },
    "tag": "error",
  },
  "slotsAsText": Object {
    "error": Object {
      "kind": "report-malformed",
      "reason": "slots: Invalid input: expected number, received string",
    },
    "tag": "error",
  },
  "unknownState": Object {
    "error": Object {
      "kind": "report-malformed",
      "reason": "state: Invalid option: expected one of \\"ready\\"|\\"draining\\"",
    },
    "tag": "error",
  },
  "unknownZone": Object {
    "error": Object {
      "kind": "report-malformed",
      "reason": "zone mars is unknown",
    },
    "tag": "error",
  },
  "unreadable": Object {
    "error": Object {
      "kind": "report-malformed",
      "reason": ": Invalid input: expected object, received undefined",
    },
    "tag": "error",
  },
}
`

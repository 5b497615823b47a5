/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/providerSettings.spec.ts > TAP > settings of entry and control hosts, and invalid files > must match snapshot 1`] = `
Object {
  "control": Object {
    "tag": "ok",
    "value": Object {
      "callers": null,
      "control": Object {
        "address": "10.1.0.8",
        "port": 8200,
      },
      "dataFolder": "/data",
      "descriptors": 2870,
      "directory": null,
      "host": "10.1.0.8",
      "isFirstStart": true,
      "link": Object {
        "address": "10.1.0.8",
        "port": 7600,
      },
      "metrics": Object {
        "address": "10.1.0.8",
        "port": 7601,
      },
      "readiness": null,
      "region": "riga",
      "regionOfZone": Map {
        "riga-a" => "riga",
        "kaunas-a" => "kaunas",
      },
      "reportIntervalMs": 1500,
      "retryRatio": 0.2,
      "retrySlack": 0,
      "role": "control",
      "seeds": Array [
        Object {
          "address": "10.1.0.11",
          "port": 8200,
        },
      ],
      "shiftCap": 1,
      "stopWithinMs": 6000,
      "tolerance": Object {
        "fraction": 0,
        "requests": 0,
        "windowMs": 1000,
      },
      "zone": "riga-a",
    },
  },
  "entry": Object {
    "tag": "ok",
    "value": Object {
      "callers": Object {
        "address": "10.1.0.8",
        "port": 8206,
      },
      "control": null,
      "dataFolder": null,
      "descriptors": 2870,
      "directory": Object {
        "address": "10.1.0.8",
        "port": 8209,
      },
      "host": "10.1.0.8",
      "isFirstStart": true,
      "link": Object {
        "address": "10.1.0.8",
        "port": 7600,
      },
      "metrics": Object {
        "address": "10.1.0.8",
        "port": 7601,
      },
      "readiness": Object {
        "address": "10.1.0.8",
        "port": 8201,
      },
      "region": "riga",
      "regionOfZone": Map {
        "riga-a" => "riga",
        "kaunas-a" => "kaunas",
      },
      "reportIntervalMs": 1500,
      "retryRatio": 0.2,
      "retrySlack": 144,
      "role": "entry",
      "seeds": Array [
        Object {
          "address": "10.1.0.11",
          "port": 8200,
        },
      ],
      "shiftCap": 0.15,
      "stopWithinMs": 6000,
      "tolerance": Object {
        "fraction": 0,
        "requests": 0,
        "windowMs": 1000,
      },
      "zone": "riga-a",
    },
  },
  "notJson": Object {
    "error": Object {
      "kind": "settings-unusable",
      "reason": "not JSON",
    },
    "tag": "error",
  },
  "oddAddress": Object {
    "error": Object {
      "kind": "settings-unusable",
      "reason": "listen.front: Invalid string: must match pattern /^[0-9.]+:[0-9]+$/",
    },
    "tag": "error",
  },
  "withoutSeeds": Object {
    "error": Object {
      "kind": "settings-unusable",
      "reason": "seeds: Invalid input: expected array, received undefined",
    },
    "tag": "error",
  },
}
`

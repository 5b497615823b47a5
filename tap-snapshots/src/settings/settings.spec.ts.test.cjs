/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/settings/settings.spec.ts > TAP > every problem names its path, the value found and the allowed values > must match snapshot 1`] = `
Object {
  "aliasWithoutAnchor": Array [
    "not YAML: Unresolved alias (the anchor must be set before the alias): entry",
  ],
  "empty": Array [
    "(top): found null; Invalid input: expected object, received null",
  ],
  "good": Array [
    "good",
  ],
  "missing": Array [
    "fleetKeyFile: found nothing; Invalid input: expected string, received undefined",
  ],
  "notYaml": Array [
    "not YAML: Flow sequence in block collection must be sufficiently indented and end with a ] at line 2, column 1:",
  ],
  "outOfRange": Array [
    "link.port: found 70000; Too big: expected number to be <=65535",
  ],
  "unknownKey": Array [
    "(top): unknown key \\"colour\\"",
  ],
  "unknownNestedKey": Array [
    "limits: unknown key \\"speed\\"",
  ],
  "wrongChoice": Array [
    "policies.queue: found \\"lottery\\"; Invalid option: expected one of \\"max-min\\"|\\"first-come\\"|\\"ranked-max-min\\"",
  ],
  "wrongRole": Array [
    "role: found \\"oracle\\"; Invalid discriminator value. Expected 'entry' | 'control'",
  ],
  "wrongType": Array [
    "host: found 5; Invalid input: expected string, received number",
  ],
}
`

exports[`src/settings/settings.spec.ts > TAP > missing settings get their defaults > must match snapshot 1`] = `
Object {
  "tag": "ok",
  "value": Object {
    "announcementKeyFile": "announcement.key",
    "announcements": Object {
      "address": "127.0.0.1",
      "port": 0,
    },
    "callers": Object {
      "address": "127.0.0.1",
      "port": 0,
    },
    "fleetKeyFile": "fleet.key",
    "host": "entry-1",
    "limits": Object {
      "bodyBytes": 67108864,
      "bufferedBodyBytes": 16384,
      "connections": 4096,
      "headerBytes": 16384,
    },
    "link": Object {
      "address": "127.0.0.1",
      "port": 0,
    },
    "log": Object {
      "level": "info",
    },
    "policies": Object {
      "allowance": "lending",
      "choice": "two-choices",
      "queue": "max-min",
      "records": "rendezvous",
      "shift": "capped",
      "suspicion": "shared",
    },
    "region": "north",
    "role": "entry",
    "seeds": Array [],
    "tracing": Object {
      "sampleRatio": 1,
    },
    "zone": "north-a",
  },
}
`

exports[`src/settings/settings.spec.ts > TAP > secrets are reloaded when their file changes, and unusable files give errors > must match snapshot 1`] = `
Array [
  "secret-too-short",
  "secret-unreadable",
]
`

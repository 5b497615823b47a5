/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/announcement/announcementTopic.spec.ts > TAP > a server that starts again under its name begins anew, and a draining one stays so within its life > must match snapshot 1`] = `
Array [
  Object {
    "a/one": "up 1/9",
  },
  Object {
    "a/one": "draining 1/10",
  },
  Object {
    "a/one": "draining 1/10",
  },
  Object {
    "a/one": "up 2/1",
  },
  Object {
    "a/one": "up 2/1",
  },
]
`

exports[`src/announcement/announcementTopic.spec.ts > TAP > a server that was taken for gone is back when any control host hears it > must match snapshot 1`] = `
Object {
  "a/one": "up 1/4",
}
`

exports[`src/announcement/announcementTopic.spec.ts > TAP > an address belongs to the server that started last there, whatever an earlier one still says > must match snapshot 1`] = `
Array [
  Object {
    "a/old": "up 1/5",
    "isNews": true,
  },
  Object {
    "a/old": "gone 1/5",
    "b/new": "up 2/1",
    "isNews": true,
  },
  Object {
    "a/old": "gone 1/5",
    "b/new": "up 2/1",
    "isNews": false,
  },
  Object {
    "a/old": "gone 1/5",
    "b/new": "up 2/1",
    "isNews": false,
  },
  Object {
    "a/old": "gone 1/5",
    "b/new": "up 2/1",
    "isNews": false,
  },
]
`

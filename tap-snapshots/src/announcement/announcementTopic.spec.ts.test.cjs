/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/announcement/announcementTopic.spec.ts > TAP > resets the state when a server restarts, and keeps a draining server draining within one epoch > must match snapshot 1`] = `
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

exports[`src/announcement/announcementTopic.spec.ts > TAP > restores a server marked gone when any control host reports a newer announcement > must match snapshot 1`] = `
Object {
  "a/one": "up 1/4",
}
`

exports[`src/announcement/announcementTopic.spec.ts > TAP > transfers an address to the server that started there last, despite later announcements of earlier servers > must match snapshot 1`] = `
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

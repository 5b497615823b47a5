/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/gossip/gossip.spec.ts > TAP > a frozen host is suspected, buried and back again without a restart; a dead one stays dead > must match snapshot 1`] = `
Object {
  "dead": Array [
    "dead",
    "dead",
  ],
  "thawed": Array [
    "alive",
    "dead",
  ],
}
`

exports[`src/gossip/gossip.spec.ts > TAP > a key withdrawn through a control host that is cut off from the quorum stops working where it is heard > after the cut has healed 1`] = `
Object {
  "key-withdrawn (not-run)": 24,
}
`

exports[`src/gossip/gossip.spec.ts > TAP > a key withdrawn through a control host that is cut off from the quorum stops working where it is heard > while the zone is cut 1`] = `
Object {
  "inside": Object {
    "key-withdrawn (not-run)": 4,
  },
  "outside": Object {
    "served": 20,
  },
}
`

exports[`src/gossip/gossip.spec.ts > TAP > a restarted host serves no keyed request before a peer has vouched for its copy > must match snapshot 1`] = `
Object {
  "alone": Object {
    "configuration-not-loaded (not-run)": 1,
  },
  "caughtUp": Object {
    "key-withdrawn (not-run)": 1,
  },
  "unvouched": Object {
    "configuration-not-loaded (not-run)": 1,
  },
}
`

exports[`src/gossip/gossip.spec.ts > TAP > a zone that is cut off follows its profile: serve or refuse > refuse: inside the cut zone 1`] = `
Object {
  "configuration-stale (not-run)": 4,
}
`

exports[`src/gossip/gossip.spec.ts > TAP > a zone that is cut off follows its profile: serve or refuse > serve: inside the cut zone 1`] = `
Object {
  "served": 4,
}
`

/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/gossip/gossip.spec.ts > TAP > a frozen host is suspected, declared dead and alive again without a restart; a dead one stays dead > must match snapshot 1`] = `
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

exports[`src/gossip/gossip.spec.ts > TAP > a key withdrawn at a control host without a quorum is rejected by all hosts that it can reach > after the partition has healed 1`] = `
Object {
  "key-withdrawn (not-run)": 24,
}
`

exports[`src/gossip/gossip.spec.ts > TAP > a key withdrawn at a control host without a quorum is rejected by all hosts that it can reach > while the zone is partitioned 1`] = `
Object {
  "inside": Object {
    "key-withdrawn (not-run)": 4,
  },
  "outside": Object {
    "served": 20,
  },
}
`

exports[`src/gossip/gossip.spec.ts > TAP > a restarted host serves no request with a key before its configuration is confirmed > must match snapshot 1`] = `
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

exports[`src/gossip/gossip.spec.ts > TAP > a zone that is partitioned off serves or refuses as its profile says > refuse: inside the partitioned zone 1`] = `
Object {
  "configuration-stale (not-run)": 4,
}
`

exports[`src/gossip/gossip.spec.ts > TAP > a zone that is partitioned off serves or refuses as its profile says > serve: inside the partitioned zone 1`] = `
Object {
  "served": 4,
}
`

/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/exchange/plannedStop.spec.ts > TAP > requests that come during a planned stop are cut off when its time is up > work 2500 ms, timeout 4000 ms 1`] = `
Object {
  "cut": 0,
  "refusals": Object {
    "stopping, not-run": 42,
  },
  "sentAfterStop": 18,
}
`

exports[`src/exchange/plannedStop.spec.ts > TAP > requests that come during a planned stop are cut off when its time is up > work 4000 ms, timeout 8000 ms 1`] = `
Object {
  "cut": 0,
  "refusals": Object {
    "stopping, not-run": 60,
  },
  "sentAfterStop": 0,
}
`

exports[`src/exchange/plannedStop.spec.ts > TAP > requests that come during a planned stop are cut off when its time is up > work 500 ms, timeout 1500 ms 1`] = `
Object {
  "cut": 0,
  "refusals": Object {
    "stopping, not-run": 30,
  },
  "sentAfterStop": 30,
}
`

exports[`src/exchange/plannedStop.spec.ts > TAP > requests that come during a planned stop are cut off when its time is up > work 9000 ms, timeout 12000 ms 1`] = `
Object {
  "cut": 0,
  "refusals": Object {
    "stopping, not-run": 60,
  },
  "sentAfterStop": 0,
}
`

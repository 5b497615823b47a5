/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/idempotency/atMostOnce.spec.ts > TAP > a request that was refused before it ran may be resent under its key > must match snapshot 1`] = `
Array [
  "n1-1: refused shift-capped (not-run)",
  "m1-1: served  (run)",
]
`

exports[`src/idempotency/atMostOnce.spec.ts > TAP > a ticket whose record has expired is refused > must match snapshot 1`] = `
Array [
  "n1-1: refused earlier-outcome-unknown (not-run)",
]
`

exports[`src/idempotency/atMostOnce.spec.ts > TAP > refuses a resend while the first request runs and after its entry host has died > first already running, then the earlier outcome is unknown 1`] = `
Array [
  "m1-1: refused already-running (not-run)",
  "m1-1: refused earlier-outcome-unknown (not-run)",
]
`

exports[`src/idempotency/atMostOnce.spec.ts > TAP > replays the first answer to a resend through another host > must match snapshot 1`] = `
Array [
  "n1-1: served  (run)",
  "s2-3: served replayed (run)",
  "s2-3: refused idempotency-mismatch (not-run)",
]
`

exports[`src/idempotency/atMostOnce.spec.ts > TAP > restarted record hosts abstain on keys whose record they may have lost > the resend is refused; a ticket issued since the restart is served 1`] = `
Array [
  "n1-1: served  (run)",
  "m1-1: refused earlier-outcome-unknown (not-run)",
  "m1-1: served  (run)",
]
`

exports[`src/idempotency/atMostOnce.spec.ts > TAP > the latency of a claim: no record, records in the zone of the ticket, and records in three zones > median in virtual milliseconds with 27 ms one way between regions 1`] = `
Object {
  "none": 10,
  "plainKey": 64,
  "ticket": 11,
}
`

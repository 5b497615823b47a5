/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/command-line/joinedLog.spec.ts > TAP > a lost response: the retry names the server, and another host ejected that server > must match snapshot 1`] = `
Array [
  "2026-01-01T00:00:05.000Z n1 retry r3 backend=s/two zone=n inFlight=2 slots=4 queueMs=900",
  "2026-01-01T00:00:05.400Z n2 ejected s/two consecutiveFailures=3 forMs=2000",
  "2026-01-01T00:00:05.800Z n1 refused r3 reason=attempt-failed attempts=2 result=lost cause=ECONNRESET",
]
`

exports[`src/command-line/joinedLog.spec.ts > TAP > a request refused after the host lost the quorum: the loss is shown, and a step of its wall clock does not change the order > must match snapshot 1`] = `
Array [
  "2026-01-01T00:00:00.100Z n1 configuration configuration to=1 planVersion=1",
  "2026-01-01T00:00:09.000Z n1 quorum quorum from=\\"in touch\\" to=\\"out of touch\\" ageMs=3010",
  "2026-01-01T00:00:09.900Z n1 refused r4 reason=configuration-stale configurationIndex=1 configurationAgeMs=3910",
]
`

exports[`src/command-line/joinedLog.spec.ts > TAP > a request refused under load: its refusal, the earlier loss of a server, and the configuration in force > must match snapshot 1`] = `
Array [
  "2026-01-01T00:00:01.000Z n1 configuration configuration from=6 to=7 planVersion=7",
  "2026-01-01T00:00:04.000Z n1 backend s/one from=up to=gone zone=n epoch=1 sequence=9",
  "2026-01-01T00:00:04.200Z n1 refused r1 service=s profile=plan@7 reason=overloaded waitedMs=37.5 queued=12",
]
`

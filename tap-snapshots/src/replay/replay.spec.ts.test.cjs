/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/replay/replay.spec.ts > TAP > a recorded inbox replays to the same outbox, and the outcomes are compared with the expected ones > must match snapshot 1`] = `
Object {
  "refuse configuration-not-loaded not-run": 1,
  "refuse key-withdrawn not-run": 2,
  "start-attempt": 1,
}
`

exports[`src/replay/replay.spec.ts > TAP > a recorded inbox replays to the same outbox, and the outcomes are compared with the expected ones > must match snapshot 2`] = `
Array [
  "refuse key-withdrawn not-run: found 2, expected 3",
  "cut-answer: found 0, expected {\\"atLeast\\":1}",
]
`

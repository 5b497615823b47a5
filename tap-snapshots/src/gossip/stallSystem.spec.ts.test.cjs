/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/gossip/stallSystem.spec.ts > TAP > messages that are read after a stall may have arrived since its start > must match snapshot 1`] = `
Object {
  "a second stall after the backlog is read": Array [
    100,
    100,
    3500,
    3500,
    3500,
    5800,
  ],
  "a second stall before the backlog is read": Array [
    100,
    100,
    100,
    100,
    100,
    5500,
  ],
  "one stall": Array [
    100,
    100,
    100,
    100,
    3400,
    3900,
  ],
  "runs all the time": Array [
    100,
    600,
    1100,
  ],
}
`

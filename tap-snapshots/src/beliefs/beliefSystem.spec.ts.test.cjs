/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/beliefs/beliefSystem.spec.ts > TAP > a control host records the loss and return of its leader and of the quorum > must match snapshot 1`] = `
Object {
  "cut": Array [
    "leader leader: b -> none",
    "peer c: alive -> suspect",
    "peer b: alive -> suspect",
    "quorum quorum: in touch -> out of touch",
    "peer c: suspect -> dead",
    "peer b: suspect -> dead",
  ],
  "follower": "a",
  "joined": Array [
    "peer b: dead -> alive",
    "peer c: dead -> alive",
    "leader leader: none -> b",
    "quorum quorum: out of touch -> in touch",
  ],
  "leader": "b",
}
`

exports[`src/beliefs/beliefSystem.spec.ts > TAP > an entry host records lost and recovered peers and servers, each change once > must match snapshot 1`] = `
Object {
  "back": Array [
    "peer n1-2: dead -> alive",
    "backend s/one: gone -> up",
  ],
  "calm": Array [
    "configuration configuration: null -> 3",
    "quorum quorum: null -> in touch",
    "quorum quorum: in touch -> out of touch",
  ],
  "lost": Array [
    "peer n1-2: alive -> suspect",
    "backend s/one: up -> gone",
    "peer n1-2: suspect -> dead",
  ],
}
`

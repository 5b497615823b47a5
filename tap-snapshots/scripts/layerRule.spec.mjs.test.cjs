/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`scripts/layerRule.spec.mjs > TAP > what a module may import > must match snapshot 1`] = `
Object {
  "a folder above": Array [
    "1: front-end/callerServer.ts belongs to a layer above this one",
  ],
  "a folder below": Array [],
  "a module that imports it again": Array [
    "1: gossip/spreadSystem.ts imports this module again",
  ],
  "from a folder without a place": Array [
    "1: this folder has no place in the order of layers",
    "1: core/id.ts belongs to a layer above this one",
  ],
  "in a test": Array [],
  "the types of a folder above": Array [],
}
`

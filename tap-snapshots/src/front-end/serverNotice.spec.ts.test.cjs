/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/front-end/serverNotice.spec.ts > TAP > the length of a pause is read from seconds only > must match snapshot 1`] = `
Object {
  "absent": null,
  "an HTTP date": null,
  "empty": null,
  "exponent": null,
  "fraction": 250,
  "negative": null,
  "one of two unparsable": 1000,
  "several values": 4000,
  "several values in one": 4000,
  "spaces": 2000,
  "text": null,
  "very large": 9007199254740991,
  "whole seconds": 3000,
  "zero": 0,
}
`

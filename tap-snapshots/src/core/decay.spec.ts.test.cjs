/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/core/decay.spec.ts > TAP > decay gives the same bits on every processor > must match snapshot 1`] = `
Object {
  "0": "3ff0000000000000",
  "1": "3feffd4510da288f",
  "1000": "3fe6edd3122f2ea5",
  "12345": "3f90b7bf508a3bd6",
  "133.7": "3fee9aecff461fc2",
  "17": "3fefd1b5bf002d36",
  "2.5": "3feff92d19ef60fd",
  "20": "3fefc9917c955737",
  "2718.28": "3fd9dcc5860c6522",
  "3000": "3fd78b56362cef38",
  "3600000": "0000000000000000",
  "400": "3fec016b79f3e125",
  "5000.5": "3fc82c0b590580a9",
  "60000": "3e21b48655f37267",
  "999.999": "3fe6edd39269a020",
}
`

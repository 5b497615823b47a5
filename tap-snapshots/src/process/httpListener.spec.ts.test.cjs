/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/process/httpListener.spec.ts > TAP > an error of a handler, thrown at once or later, costs only its request > must match snapshot 1`] = `
Object {
  "faults": Array [
    "test: thrown",
    "test: rejected",
    "test: thrown after the head",
    "test: thrown after the end",
    "test: write after end",
    "test: Invalid character in header content [\\"location\\"]",
    "test: accept EMFILE",
    "test: accept ENFILE",
    "test: accept ENOBUFS",
  ],
  "statuses": Object {
    "/fails-to-accept": "HTTP/1.1 200 OK",
    "/rejects": "HTTP/1.1 500 Internal Server Error",
    "/request-fails": "HTTP/1.1 200 OK",
    "/served": "HTTP/1.1 200 OK",
    "/sets-invalid-header": "HTTP/1.1 500 Internal Server Error",
    "/throws": "HTTP/1.1 500 Internal Server Error",
    "/throws-after-end": "HTTP/1.1 200 OK",
    "/throws-after-head": "",
    "/writes-after-end": "HTTP/1.1 200 OK",
  },
}
`

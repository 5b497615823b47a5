/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/front-end/callerServer.spec.ts > TAP > a close-delimited response is relayed without added framing, as it may be incomplete > must match snapshot 1`] = `
Object {
  "body": "perhaps whole",
  "closes": true,
  "length": false,
  "status": "HTTP/1.1 200 OK",
}
`

exports[`src/front-end/callerServer.spec.ts > TAP > a response that is cut off is never relayed as a complete one > must match snapshot 1`] = `
Object {
  "ran": "unknown",
  "reason": "attempt-failed",
  "status": 502,
}
`

exports[`src/front-end/callerServer.spec.ts > TAP > invalid and oversized requests are refused, and the server keeps working > must match snapshot 1`] = `
Object {
  "hugeBody": "HTTP/1.1 413 Payload Too Large",
  "hugeHead": "HTTP/1.1 431 Request Header Fields Too Large",
  "noHost": "HTTP/1.1 400 Bad Request",
  "notHttp": "HTTP/1.1 400 Bad Request",
  "smuggled": "HTTP/1.1 400 Bad Request",
  "twoLengths": "HTTP/1.1 400 Bad Request",
}
`

exports[`src/front-end/callerServer.spec.ts > TAP > keys are removed from forwarded requests, and the workspace header is that of the key > must match snapshot 1`] = `
Object {
  "apiKey": "absent",
  "authorization": "absent",
  "cookie": "session=redacted",
  "note": "it is redacted",
  "url": "/item?key=redacted",
  "workspace": "partner",
}
`

exports[`src/front-end/callerServer.spec.ts > TAP > refusals state the reason and whether the request may have run > must match snapshot 1`] = `
Object {
  "noKey": Object {
    "ran": "not-run",
    "reason": "key-missing",
    "status": 401,
    "text": "{\\"error\\":{\\"reason\\":\\"key-missing\\",\\"ran\\":\\"not-run\\",\\"retryAfterMs\\":null,\\"entryHosts\\":[]}}",
  },
  "noServer": Object {
    "ran": "not-run",
    "reason": "no-backend",
    "status": 503,
    "text": "{\\"error\\":{\\"reason\\":\\"no-backend\\",\\"ran\\":\\"not-run\\",\\"retryAfterMs\\":500,\\"entryHosts\\":[]}}",
  },
  "unknownKey": Object {
    "ran": "not-run",
    "reason": "key-unknown",
    "status": 401,
    "text": "{\\"error\\":{\\"reason\\":\\"key-unknown\\",\\"ran\\":\\"not-run\\",\\"retryAfterMs\\":null,\\"entryHosts\\":[]}}",
  },
  "unknownPath": Object {
    "ran": undefined,
    "reason": undefined,
    "status": 404,
    "text": "{\\"error\\":{\\"reason\\":\\"path-unknown\\",\\"ran\\":\\"not-run\\"}}",
  },
  "unknownService": Object {
    "ran": "not-run",
    "reason": "service-unknown",
    "status": 404,
    "text": "{\\"error\\":{\\"reason\\":\\"service-unknown\\",\\"ran\\":\\"not-run\\",\\"retryAfterMs\\":null,\\"entryHosts\\":[]}}",
  },
}
`

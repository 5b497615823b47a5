/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/hostileServer.spec.ts > TAP > an answer whose head breaks off is no answer, wherever it breaks off > must match snapshot 1`] = `
Object {
  "end, pay": Array [
    "unknown",
  ],
  "end, read": Array [
    "unknown",
  ],
  "reset, pay": Array [
    "unknown",
  ],
  "reset, read": Array [
    "unknown",
  ],
}
`

exports[`platform/hostileServer.spec.ts > TAP > whatever one server writes, callers get their own answers, true refusals or an unknown outcome > on a fresh connection 1`] = `
Object {
  "a length and chunks": Object {
    "pay": "unknown",
    "read": "unknown",
  },
  "a reason without end": Object {
    "pay": "unknown",
    "read": "unknown",
  },
  "a reset without an answer": Object {
    "pay": "unknown",
    "read": "unknown",
  },
  "a success without proof": Object {
    "pay": "unknown",
    "read": "unknown",
  },
  "answers again when the next request has been sent": Object {
    "pay": "own answer",
    "read": "own answer",
  },
  "answers twice at once": Object {
    "pay": "own answer",
    "read": "own answer",
  },
  "answers twice, 10 ms apart": Object {
    "pay": "own answer",
    "read": "own answer",
  },
  "bytes that are no answer": Object {
    "pay": "unknown",
    "read": "unknown",
  },
  "half of a body, then a reset": Object {
    "pay": "unknown",
    "read": "unknown",
  },
  "half of a body, then the end": Object {
    "pay": "unknown",
    "read": "unknown",
  },
  "interim answers without end": Object {
    "pay": "unknown",
    "read": "unknown",
  },
  "many headers without end": Object {
    "pay": "unknown",
    "read": "unknown",
  },
  "obsolete folding": Object {
    "pay": "own answer",
    "read": "own answer",
  },
  "one byte of the head, then silence": Object {
    "pay": "unknown",
    "read": "unknown",
  },
  "one long header without end": Object {
    "pay": "unknown",
    "read": "unknown",
  },
  "refuses, and answers all the same": Object {
    "pay": "503",
    "read": "503",
  },
  "repeats an earlier refusal as 421": Object {
    "pay": "503",
    "read": "503",
  },
  "repeats an earlier refusal in place of the next answer": Object {
    "pay": "503",
    "read": "503",
  },
  "repeats half of an answer before the next": Object {
    "pay": "own answer",
    "read": "own answer",
  },
  "silence": Object {
    "pay": "unknown",
    "read": "unknown",
  },
  "the end without an answer": Object {
    "pay": "unknown",
    "read": "unknown",
  },
  "two different lengths": Object {
    "pay": "unknown",
    "read": "unknown",
  },
  "writes 100 before the answer": Object {
    "pay": "unknown",
    "read": "unknown",
  },
  "writes a 408 after the answer": Object {
    "pay": "own answer",
    "read": "own answer",
  },
}
`

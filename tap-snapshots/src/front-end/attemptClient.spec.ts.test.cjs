/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/front-end/attemptClient.spec.ts > TAP > an answer with bytes without end outside its body is lost at a bound in bytes > must match snapshot 1`] = `
Object {
  "a chunk extension": Object {
    "kind": "lost",
    "reason": "ANSWER_OVERHEAD",
  },
  "a status line": Object {
    "kind": "lost",
    "reason": "ANSWER_OVERHEAD",
  },
  "extensions of small chunks": Object {
    "kind": "lost",
    "reason": "ANSWER_OVERHEAD",
  },
  "header lines": Object {
    "kind": "lost",
    "reason": "UND_ERR_HEADERS_OVERFLOW",
  },
  "interim responses": Object {
    "kind": "lost",
    "reason": "ANSWER_OVERHEAD",
  },
  "interim responses with headers": Object {
    "kind": "lost",
    "reason": "ANSWER_OVERHEAD",
  },
  "no HTTP": Object {
    "kind": "lost",
    "reason": "HPE_INVALID_CONSTANT",
  },
  "one header": Object {
    "kind": "lost",
    "reason": "UND_ERR_HEADERS_OVERFLOW",
  },
  "one trailer": Object {
    "kind": "lost",
    "reason": "UND_ERR_HEADERS_OVERFLOW",
  },
  "the size of a chunk": Object {
    "kind": "lost",
    "reason": "ANSWER_OVERHEAD",
  },
  "trailers": Object {
    "kind": "lost",
    "reason": "UND_ERR_HEADERS_OVERFLOW",
  },
}
`

exports[`src/front-end/attemptClient.spec.ts > TAP > responses that are cut off, sent twice or not HTTP > must match snapshot 1`] = `
Object {
  "cutChunks": Object {
    "kind": "lost",
    "reason": "UND_ERR_SOCKET",
  },
  "noise": Object {
    "kind": "lost",
    "reason": "HPE_INVALID_CONSTANT",
  },
  "refused": Object {
    "kind": "not-sent",
    "reason": "ECONNREFUSED",
  },
  "short": Object {
    "kind": "lost",
    "reason": "UND_ERR_SOCKET",
  },
  "silent": Object {
    "kind": "lost",
    "reason": "ATTEMPT_TIMEOUT",
  },
  "twiceFirst": Object {
    "body": "1",
    "status": 200,
  },
  "twiceNext": Object {
    "body": "2",
    "status": 200,
  },
}
`

exports[`src/front-end/attemptClient.spec.ts > TAP > responses without content length or chunked framing are complete only if their connection ends without a reset > must match snapshot 1`] = `
Object {
  "ended": Object {
    "body": "whole",
    "status": 200,
  },
  "reset": Object {
    "kind": "lost",
    "reason": "ANSWER_RESET",
  },
}
`

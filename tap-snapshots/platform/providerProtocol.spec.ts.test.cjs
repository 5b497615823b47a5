/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/providerProtocol.spec.ts > TAP > a refusal states that the request was not run only where that is certain > must match snapshot 1`] = `
Object {
  "deadlineNotRun": Object {
    "body": "{\\"error\\":{\\"reason\\":\\"deadline\\",\\"ran\\":\\"not-run\\"}}",
    "status": 503,
    "x-attempt-id": "a1",
  },
  "deadlineUnknown": Object {
    "body": "{\\"error\\":{\\"reason\\":\\"deadline\\",\\"ran\\":\\"unknown\\"}}",
    "status": 504,
    "x-attempt-id": "a1",
  },
  "notLoaded": Object {
    "body": "{\\"error\\":{\\"reason\\":\\"configuration-not-loaded\\",\\"ran\\":\\"not-run\\"}}",
    "retry-after": "1.500",
    "status": 503,
    "x-attempt-id": "a1",
  },
  "outcomeUnknown": Object {
    "body": "{\\"error\\":{\\"reason\\":\\"outcome-unknown\\",\\"ran\\":\\"unknown\\"}}",
    "status": 502,
    "x-attempt-id": "a1",
  },
  "overloaded": Object {
    "body": "{\\"error\\":{\\"reason\\":\\"overloaded\\",\\"ran\\":\\"not-run\\"}}",
    "retry-after": "0.400",
    "status": 503,
    "x-attempt-id": "a1",
  },
  "overRate": Object {
    "body": "{\\"error\\":{\\"reason\\":\\"over-rate\\",\\"ran\\":\\"not-run\\"}}",
    "retry-after": "1.000",
    "status": 429,
    "x-attempt-id": "a1",
  },
  "routeUnknown": Object {
    "body": "{\\"error\\":{\\"reason\\":\\"route-unknown\\",\\"ran\\":\\"not-run\\"}}",
    "status": 404,
    "x-attempt-id": "a1",
  },
  "shedUnknown": Object {
    "body": "{\\"error\\":{\\"reason\\":\\"shed\\",\\"ran\\":\\"unknown\\"}}",
    "status": 504,
    "x-attempt-id": "a1",
  },
}
`

exports[`platform/providerProtocol.spec.ts > TAP > a request is parsed > must match snapshot 1`] = `
Object {
  "asterisk": Object {
    "kind": "malformed",
    "reason": "path-malformed",
    "status": 400,
  },
  "bare": Object {
    "affinity": null,
    "idempotencyKey": null,
    "key": null,
    "kind": "request",
    "path": "/read/1?x=1",
    "requestId": "a1",
    "target": Object {
      "authority": "shop.example",
      "kind": "route",
    },
    "timeoutMs": null,
  },
  "full": Object {
    "affinity": "17",
    "idempotencyKey": null,
    "key": "secret",
    "kind": "request",
    "path": "/read/1?x=1",
    "requestId": "a1",
    "target": Object {
      "authority": "shop.example",
      "kind": "route",
    },
    "timeoutMs": 1200,
  },
}
`

exports[`platform/providerProtocol.spec.ts > TAP > headers of an attempt contain no key and no value that only the product may set > must match snapshot 1`] = `
Object {
  "host": "Shop.Example:80",
  "x-attempt-id": "a1",
  "x-deadline-ms": "432",
  "x-expect-instance": "i-7",
  "x-other": "kept",
  "x-tenant": "w",
}
`

exports[`platform/providerProtocol.spec.ts > TAP > responses are classified > must match snapshot 1`] = `
Object {
  "ofAnotherAttempt": "stray",
  "otherServer": "misdirected",
  "otherServerOfAnotherAttempt": "stray",
  "own": "answer",
  "ownFailure": "answer",
  "shed": "shed",
  "shedOfAnotherAttempt": "stray",
  "unavailableButMayHaveRun": "answer",
  "withoutAttempt": "stray",
  "withoutSeal": "stray",
}
`

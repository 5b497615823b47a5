/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/replicated-log/logProtocol.spec.ts > TAP > a host with a lost disk returns as a new replica, then a second host fails > must match snapshot 1`] = `
Object {
  "answers": Array [
    "version 1",
    "version 0",
    "version 2",
  ],
  "workspaces": Array [
    Array [
      "w@2",
    ],
    Array [
      "w@1",
    ],
    Array [
      "w@2",
    ],
  ],
}
`

exports[`src/replicated-log/logProtocol.spec.ts > TAP > a leader is elected and a command commits on all replicas > must match snapshot 1`] = `
Object {
  "answers": Array [
    "version 1",
  ],
  "workspaces": Array [
    Array [
      "w@1",
    ],
    Array [
      "w@1",
    ],
    Array [
      "w@1",
    ],
  ],
}
`

exports[`src/replicated-log/logProtocol.spec.ts > TAP > a leader that resumes after a freeze accepts no proposals > must match snapshot 1`] = `
Object {
  "answers": Array [
    "not-leader",
    "version 1",
  ],
  "workspaces": Array [
    Array [
      "w@1",
    ],
    Array [
      "w@1",
    ],
    Array [
      "w@1",
    ],
  ],
}
`

exports[`src/replicated-log/logProtocol.spec.ts > TAP > operators race with equal versions and one repeats its request after a lost answer > one succeeds; the repeated request gets the first outcome; its id with another command is an error 1`] = `
Object {
  "answers": Array [
    "version 1",
    "version-conflict",
    "version 1",
    "request-id-reused",
  ],
  "workspaces": Array [
    Array [
      "w@1",
    ],
    Array [
      "w@1",
    ],
    Array [
      "w@1",
    ],
  ],
}
`

exports[`src/replicated-log/logProtocol.spec.ts > TAP > the leader is killed during a commit > the repeated command is applied once on every replica 1`] = `
Object {
  "answers": Array [
    "no answer",
    "version 1",
  ],
  "workspaces": Array [
    Array [
      "w@1",
    ],
    Array [
      "w@1",
    ],
    Array [
      "w@1",
    ],
  ],
}
`

/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/providerFleet.spec.ts > TAP > the whole path over real processes: reports, a plan, requests, a drain, an evacuation, a restart and a planned stop > must match snapshot 1`] = `
Object {
  "attempt": "string",
  "key": undefined,
  "path": "/read/1",
  "workspace": "w",
}
`

exports[`platform/providerFleet.spec.ts > TAP > the whole path over real processes: reports, a plan, requests, a drain, an evacuation, a restart and a planned stop > must match snapshot 2`] = `
Object {
  "openWrite": 200,
  "unknownKey": 401,
  "unknownRoute": 404,
  "withoutKey": 401,
}
`

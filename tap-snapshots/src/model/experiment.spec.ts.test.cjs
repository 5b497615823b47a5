/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/model/experiment.spec.ts > TAP > each problem of a deployment file is reported with its path > must match snapshot 1`] = `
Array [
  "regions.0: Invalid string: must match pattern /^[a-z]+$/",
  "zonesPerRegion: Too small: expected number to be >0",
  "hostsPerZone: Invalid input: expected number, received undefined",
  "regionDelayMs: Invalid input: expected number, received undefined",
  "shiftCap: Invalid input: expected number, received undefined",
  "shiftWindowMs: Invalid input: expected number, received undefined",
  "services: Invalid input: expected array, received undefined",
  "requests: Invalid input: expected array, received undefined",
  "wave: Invalid input: expected object, received undefined",
  "warmUpMs: Invalid input: expected number, received undefined",
  "measuredMs: Invalid input: expected number, received undefined",
  "faults: Invalid input: expected array, received undefined",
  "experiment: Invalid input: expected object, received undefined",
  "bounds: Invalid input: expected array, received undefined",
  "file: Unrecognized key: \\"surprise\\"",
]
`

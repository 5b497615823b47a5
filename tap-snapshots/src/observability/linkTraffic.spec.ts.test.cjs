/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`src/observability/linkTraffic.spec.ts > TAP > writes the sums since the last line, largest first, and no line without traffic > must match snapshot 1`] = `
[{"sentBytes":{"sync fleet":900,"probe zone":220}}]
`

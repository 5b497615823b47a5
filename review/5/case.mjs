/** All processes of the core are killed at once; an endpoint that leaves deregisters as they come back. */

import { runCase, startFleet } from '../harness/case.mjs'
import { Endpoint } from '../harness/endpoint.mjs'
import { KEY, config, route, service, tenant } from '../harness/config.mjs'
import { bounds, sleep, waitUntil } from '../harness/fleet.mjs'

/** `TROUBLE=0` plays the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0'
/** The processes of the core are back within a second. */
const DOWN_MS = 600
const REQUESTS = 20

await runCase(5, { a: 'ra', b: 'rb', c: 'rc' }, async fleet => {
  await startFleet(fleet, {
    cores: ['a', 'b', 'c'],
    fronts: ['a', 'b'],
    document: config(1, [
      route('pay', { service: 'deposits', type: 'non_idempotent' }), service('deposits'), tenant()
    ])
  })
  const endpoints = []
  for (const [number, zone] of ['a', 'a', 'b', 'b'].entries()) {
    const endpoint = new Endpoint(fleet, { service: 'deposits', zone, id: `i-${number + 1}`, workMs: 100 })
    endpoints.push(endpoint)
    await endpoint.start()
  }
  if (!await waitUntil(async () => (await Promise.all(fleet.fronts.map(async front => await fleet.isReady(front)))).every(ready => ready))) throw new Error('the fronts are not ready')
  await sleep(6_000)
  const ask = async (front, turn) => await fleet.ask(front, { path: `/pay/${turn}`, method: 'POST', headers: { 'x-api-key': KEY } })
  const before = await Promise.all(fleet.fronts.flatMap(front => Array.from({ length: REQUESTS / 2 }, async (_, turn) => await ask(front, turn))))
  fleet.record(`before: ${before.filter(({ status }) => status === 200).length} of ${before.length} requests served`)

  const [leaving] = endpoints
  if (hasTrouble) {
    await Promise.all(fleet.cores.map(async core => { await fleet.end(core) }))
    const deregistered = leaving.deregister()
    await sleep(DOWN_MS)
    for (const core of fleet.cores) fleet.start(core)
    if (await deregistered === null) throw new Error('the deregistration was not confirmed')
  } else if (await leaving.deregister() === null) throw new Error('the deregistration was not confirmed')
  const confirmedAt = performance.now()
  fleet.record('the deregistration of i-1 is confirmed')

  // After twice contactMs of calm, all machines are in touch.
  const calmMs = 2 * bounds.contactMs + 500
  await sleep(calmMs)
  if (!await waitUntil(async () => (await fleet.order('config.get')).status === 200, 5_000)) throw new Error('the core is not back')
  const after = await Promise.all(fleet.fronts.flatMap(front => Array.from({ length: REQUESTS / 2 }, async (_, turn) => await ask(front, 100 + turn))))
  const served = after.filter(({ status }) => status === 200).length
  const late = leaving.arrivals.filter(({ at }) => at > confirmedAt + bounds.drainMs)
  fleet.record(`after: ${served} of ${after.length} requests served, ${late.length} reached i-1 later than ${bounds.drainMs} ms after the confirmation`)
  if (served === 0) throw new Error('nothing was served')
  return late.length > 0 ? `${late.length} requests reached an endpoint ${Math.round(late[0].at - confirmedAt)} ms after the confirmation that it is gone` : null
})

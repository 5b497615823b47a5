/** The config grows by many routes, and then changes as often as on a long day. */

import { readFileSync } from 'node:fs'
import { runCase, startFleet, hasTrouble } from '../harness/case.mjs'
import { Endpoint } from '../harness/endpoint.mjs'
import { KEY, config, route, service, tenant } from '../harness/config.mjs'
import { bounds, sleep, waitUntil } from '../harness/fleet.mjs'

/** Routes that the config grows by, and the pause between two changes: the doses of the site. */
const MORE_ROUTES = 1_696
const GAP_MS = 100
const CHANGES = 220
/** Orders are sent, and sent again without a clear answer, until this time since the start of the script. */
const ORDERS_END_MS = 68_000
/** The platform starts a process that has ended again after this time. */
const RESTART_MS = 1_000

const many = Array.from({ length: MORE_ROUTES }, (_, number) => route(`r-${number}`, { host: 'jepu9.example', pathPrefix: `/lepu${number}/`, service: 'lookup' }))
const document = version => config(version, [
  route('read', { service: 'lookup', timeoutMs: 2_000 + version }),
  ...hasTrouble && version > 1 ? many : [],
  service('lookup'), tenant()
])

const memoryMb = ({ process: child }) => {
  try {
    return Math.round(Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'))[1]) / 1_024)
  } catch {
    return 0
  }
}

await runCase(1, { a: 'ra', b: 'rb', c: 'rc' }, async fleet => {
  await startFleet(fleet, { cores: ['a', 'b', 'c'], fronts: ['a', 'b'], document: document(1) })
  await new Endpoint(fleet, { service: 'lookup', zone: 'a', id: 'i-1' }).start()
  const [front] = fleet.fronts
  if (!await waitUntil(async () => await fleet.isReady(front))) throw new Error('the front is not ready')
  await sleep(1_000)
  for (const machine of fleet.machines) fleet.keepRunning(machine, RESTART_MS)
  const ask = async () => await fleet.ask(front, { path: '/read/1', headers: { 'x-api-key': KEY } })
  if ((await ask()).status !== 200) throw new Error('nothing was served')

  const describe = () => fleet.machines.map(machine => `${machine.name} ${memoryMb(machine)} MB, ended ${machine.ownEnds} times`).join('; ')
  let acknowledged = 1
  let nextAt = performance.now()
  for (let version = 2; version < 2 + CHANGES; version += 1) {
    const answer = await fleet.order('config.put', '', document(version), { timeoutMs: ORDERS_END_MS - performance.now() })
    if (answer.status !== 200) {
      fleet.record(`config r${version} has no confirmation`)
      break
    }
    acknowledged = version
    if (version % 20 === 0) fleet.record(`config r${version} of ${JSON.stringify(document(version)).length} bytes is acknowledged: ${describe()}`)
    nextAt += GAP_MS
    await sleep(Math.max(0, nextAt - performance.now()))
  }
  fleet.record(`the last confirmation was for r${acknowledged}; no further order is sent: ${describe()}`)

  // Calm: nothing but restarts of processes that have ended by themselves.
  await sleep(bounds.recoveryS * 1_000)
  fleet.record(describe())
  const end = performance.now() + 2 * bounds.contactMs
  const versions = new Set()
  while (performance.now() < end) {
    const answer = await fleet.order('config.get', '', undefined, { timeoutMs: 2_000 })
    if (answer.status === 200) versions.add(JSON.parse(String(answer.body)).version)
    fleet.record(`config.get: status ${answer.status} ${[...versions].join(' ')}`)
    await sleep(500)
  }
  const served = (await ask()).status === 200
  const ends = fleet.cores.map(core => core.ownEnds)
  fleet.record(`processes of the core that ended by themselves: ${ends.join(', ')} times; a request is served: ${served}; ${describe()}`)
  const isNewEnough = version => Number(version.slice(1)) >= acknowledged
  if (![...versions].some(isNewEnough)) return `the acknowledged config r${acknowledged} doesn't come; the processes of the core ended by themselves ${ends.join(', ')} times`
  return ends.filter(count => count >= 3).length >= fleet.cores.length / 2 ? `on half of the core, processes ended by themselves three times: ${ends.join(', ')}` : null
})

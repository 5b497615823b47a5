/** Two core machines are replaced one after the other; then two others lose their disks, right after they have acknowledged a config. */

import { runCase, startFleet } from '../harness/case.mjs'
import { KEY, config, route, service, tenant } from '../harness/config.mjs'
import { Endpoint } from '../harness/endpoint.mjs'
import { bounds, sleep } from '../harness/fleet.mjs'

/** `TROUBLE=0` plays the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0'
/** A machine that is gone for good has a successor after this time. */
const SUCCESSOR_MS = 1_000
/** Time after the start of a successor until the next machine is lost: syncS and a little more. */
const SYNC_MS = bounds.syncS * 1_000 + 200
const DOWN_MS = 1_500
const LEAD_MS = 10_000

const document = version => config(version, [route('read', { service: 'lookup', timeoutMs: 2_000 + version }), service('lookup'), tenant()])

await runCase(2, { a: 'ra', b: 'rb', c: 'rc', d: 'ra', e: 'rb', f: 'rc' }, async fleet => {
  await startFleet(fleet, { cores: ['a', 'b', 'c', 'd', 'e', 'f'], fronts: ['a', 'b'], document: document(1) })
  await new Endpoint(fleet, { service: 'lookup', zone: 'a', id: 'i-1' }).start()
  await sleep(LEAD_MS)
  const [front] = fleet.fronts
  const ask = async () => await fleet.ask(front, { path: '/read/1', headers: { 'x-api-key': KEY } })
  if ((await ask()).status !== 200) throw new Error('nothing was served')

  const [first, second, , third, fourth] = fleet.cores
  if (hasTrouble) {
    for (const machine of [third, fourth]) {
      await fleet.end(machine)
      await sleep(SUCCESSOR_MS)
      fleet.start(fleet.addMachine('core', machine.zone))
      fleet.record(`${machine.name} is gone for good and has a successor`)
      await sleep(SYNC_MS)
    }
  }
  if ((await fleet.order('config.put', '', document(2))).status !== 200) throw new Error('the config was not acknowledged')
  fleet.record('config r2 is acknowledged')
  if (hasTrouble) {
    const lost = [first, second]
    await Promise.all(lost.map(async machine => { await fleet.end(machine) }))
    for (const machine of lost) fleet.wipe(machine)
    await sleep(DOWN_MS)
    for (const machine of lost) fleet.start(machine)
  }
  fleet.record('all machines are back')
  await sleep(bounds.recoveryS * 1_000)
  await ask()

  // The operator reads the config back for contactMs at least.
  const end = performance.now() + 2 * bounds.contactMs
  const versions = new Set()
  while (performance.now() < end) {
    const answer = await fleet.order('config.get', '', undefined, { timeoutMs: 2_000 })
    if (answer.status === 200) versions.add(JSON.parse(String(answer.body)).version)
    fleet.record(`config.get: status ${answer.status} ${[...versions].join(' ')}`)
    await sleep(500)
  }
  const next = await fleet.order('config.put', '', document(3), { timeoutMs: bounds.ackMs })
  fleet.record(`config r3 has status ${next.status}`)
  if (versions.size === 0) return `the acknowledged config r2 doesn't come, ${bounds.recoveryS} s and more after all machines are back`
  return versions.has('r1') ? 'config r1 was read back after r2 was acknowledged' : null
})

import { appendFileSync, mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { toId } from '../core/id.js'
import { createMember } from '../membership/createMember.js'
import { createLog } from '../observability/log.js'
import { SecretFile } from '../process/secretFile.js'
import { OperatorAdmission } from '../replicated-log/replicaAdmission.js'
import { runControl } from './controlRuntime.js'
import type { ControlRuntimeOptions } from './controlRuntime.js'

// Guards against a process that starts while the one before it still stops, and cuts off what that is writing.

const START_MS = 500

const freePort = async (): Promise<number> => {
  const server = createServer()
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => { server.close(resolve) })
  return port
}

const optionsIn = async (parent: string): Promise<ControlRuntimeOptions> => {
  const keyFile = join(parent, 'fleet.key')
  writeFileSync(keyFile, 'k'.repeat(64))
  const fleetKeys = SecretFile.open(keyFile)
  if (fleetKeys.tag === 'error') throw new Error(fleetKeys.error.kind)
  return {
    self: createMember('control', { host: 'c1', region: 'n', zone: 'n1', link: { address: '127.0.0.1', port: await freePort() } }, null),
    seeds: [],
    fleetKeys: fleetKeys.value,
    dataFolder: join(parent, 'data'),
    // Without the other one there is no leader, so the log stays as it is.
    founders: ['c1', 'c2'].map(host => ({ replica: toId(`${host}#0`), host: toId(host), link: { address: '127.0.0.1', port: 1 } })),
    admission: new OperatorAdmission(),
    reportExpiryMs: 2_000,
    metrics: undefined,
    log: createLog('c1', 'fatal'),
    createFrontEnd: () => ({ listeners: [], deliver: () => {}, close: () => {} })
  }
}

t.test('a control host leaves the data folder alone while another process of the host has it', async t => {
  const parent = mkdtempSync(join(tmpdir(), 'rhubarbseam-shared-'))
  t.teardown(() => { rmSync(parent, { recursive: true }) })
  const options = await optionsIn(parent)
  const first = await runControl(options)
  if (first.tag === 'error') throw new Error(first.error.kind)
  await delay(START_MS)
  // As the first one leaves its files amid a write and amid a snapshot.
  const log = join(options.dataFolder, 'log')
  appendFileSync(log, Buffer.from([200, 0, 0, 0, 1, 2, 3, 4, 5]))
  writeFileSync(`${log}.tmp`, 'half a snapshot')
  const before = readFileSync(log)
  const starting = runControl(options)
  await delay(START_MS)
  t.ok(readFileSync(log).equals(before), 'the frame that is being written stays')
  t.same(readdirSync(options.dataFolder).sort(), ['log', 'log.tmp', 'replica'], 'so does the snapshot')
  await first.value.stop()
  const second = await starting
  if (second.tag === 'ok') await second.value.stop()
})

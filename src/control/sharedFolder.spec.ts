import { appendFileSync, readFileSync, readdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { LocalControl } from '../stand-ins/localControl.js'
import type { LocalHost } from '../stand-ins/localControl.js'

// Guards against a process that starts while the one before it still stops, and cuts off what that is writing.

const START_MS = 500

t.test('a control host leaves the data folder alone while another process of the host has it', async t => {
  // Without the second founder there is no leader, so the log stays as it is.
  const control = await LocalControl.create(['c1', 'c2'], 2)
  t.teardown(async () => { await control.close() })
  const host = control.hosts[0] as LocalHost
  t.equal((await control.start(host)).tag, 'ok')
  const first = host.process
  // As the first one leaves its files amid a write and amid a snapshot.
  const log = join(host.dataFolder, 'log')
  appendFileSync(log, Buffer.from([200, 0, 0, 0, 1, 2, 3, 4, 5]))
  writeFileSync(`${log}.tmp`, 'half a snapshot')
  const before = readFileSync(log)
  const starting = control.start(host)
  await delay(START_MS)
  t.ok(readFileSync(log).equals(before), 'the frame that is being written stays')
  t.same(readdirSync(host.dataFolder).sort(), ['log', 'log.tmp', 'replica'], 'so does the snapshot')
  await first?.stop()
  const second = await starting
  if (second.tag === 'error') host.process = null
})

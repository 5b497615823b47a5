import { mkdirSync, mkdtempSync, rmSync, symlinkSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import t from 'tap'
import type { Test } from 'tap'
import { toId } from '../core/id.js'
import { createLog } from '../observability/log.js'
import { Metrics } from '../observability/metrics.js'
import { openStore } from './openStore.js'
import type { StoreOptions } from './openStore.js'

// Guards against a control host that ends because its data folder is there only a moment later.

const optionsFor = (dataFolder: string): StoreOptions =>
  ({ self: { host: toId('c1') }, dataFolder, founders: null, log: createLog('c1', 'fatal') })

/** A data folder on a disk that is not mounted yet, and where it will be mounted. */
const createAbsentFolder = (t: Test): { readonly dataFolder: string, readonly mountPoint: string } => {
  const parent = mkdtempSync(join(tmpdir(), 'rhubarbseam-wait-'))
  t.teardown(() => { rmSync(parent, { recursive: true }) })
  const mountPoint = join(parent, 'disk')
  const dataFolder = join(parent, 'data')
  symlinkSync(mountPoint, dataFolder)
  return { dataFolder, mountPoint }
}

t.test('a control host waits for a data folder that is not there yet', async t => {
  const { dataFolder, mountPoint } = createAbsentFolder(t)
  setTimeout(() => { mkdirSync(mountPoint) }, 300)
  const opened = await openStore(optionsFor(dataFolder), new Metrics(false))
  t.match(opened, { tag: 'ok' })
  if (opened.tag === 'ok') opened.value.store.close()
})

t.test('it gives up when the time is over, or when it is to stop', async t => {
  const { dataFolder } = createAbsentFolder(t)
  const stop = new AbortController()
  t.match(await openStore(optionsFor(dataFolder), new Metrics(false), 100), { tag: 'error', error: { kind: 'folder-unusable' } })
  setTimeout(() => { stop.abort() }, 100)
  t.match(await openStore({ ...optionsFor(dataFolder), stopRequest: stop.signal }, new Metrics(false)), { tag: 'error', error: { kind: 'folder-unusable' } })
})

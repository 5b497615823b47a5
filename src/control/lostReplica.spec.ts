import { existsSync, mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import t from 'tap'
import type { Test } from 'tap'
import { toId } from '../core/id.js'
import { createMember } from '../membership/createMember.js'
import { createLog } from '../observability/log.js'
import { HostAddresses } from '../process/hostAddresses.js'
import { SecretFile } from '../process/secretFile.js'
import { StartWait } from '../process/startWait.js'
import { DiskStore } from '../replicated-log/diskStore.js'
import { OperatorAdmission } from '../replicated-log/replicaAdmission.js'
import type { Entry, Replica, ReplicaId } from '../replicated-log/types.js'
import { runControl } from './controlRuntime.js'

// Guards against a control host that needs a person to start again, and against one that starts as a replica that has forgotten its vote.

const founders: readonly Replica[] = [{ replica: toId<ReplicaId>('c1#0'), host: toId('c1'), link: { address: '127.0.0.1', port: 0 } }]
const entry: Entry = { index: 2, term: 1, payload: { kind: 'start-of-term' } }

/** Starts and stops a control host that may found the group. Returns what went wrong; null if nothing did. */
const startAndStop = async (folder: string): Promise<string | null> => {
  const keyFile = join(folder, '..', 'fleet.key')
  writeFileSync(keyFile, 'k'.repeat(64))
  const fleetKeys = SecretFile.open(keyFile)
  if (fleetKeys.tag === 'error') throw new Error(fleetKeys.error.kind)
  const link = { address: '127.0.0.1', port: 0 }
  const addresses = await HostAddresses.claim(link, new StartWait(createLog('c1', 'fatal'), new AbortController().signal))
  if (addresses.tag === 'error') throw new Error(addresses.error.kind)
  const started = await runControl({
    self: createMember('control', { host: 'c1', region: 'n', zone: 'n1', link }, null),
    addresses: addresses.value,
    seeds: [],
    fleetKeys: fleetKeys.value,
    dataFolder: folder,
    founders,
    admission: new OperatorAdmission(),
    reportExpiryMs: 2_000,
    metrics: undefined,
    log: createLog('c1', 'fatal'),
    createFrontEnd: () => ({ listeners: [], deliver: () => {}, close: () => {} })
  })
  if (started.tag === 'error') return started.error.kind
  await started.value.stop()
  return null
}

/** A data folder whose replica has voted and holds an entry. */
const createUsedFolder = async (t: Test): Promise<string> => {
  const parent = mkdtempSync(join(tmpdir(), 'rhubarbseam-replica-'))
  t.teardown(() => { rmSync(parent, { recursive: true }) })
  const folder = join(parent, 'data')
  t.equal(await startAndStop(folder), null)
  const opened = await DiskStore.open(folder)
  if (opened.tag === 'error') throw new Error(opened.error.kind)
  await opened.value.store.write([{ kind: 'vote', term: 7, votedFor: toId<ReplicaId>('c1#0') }, { kind: 'entries', entries: [entry] }])
  opened.value.store.close()
  return folder
}

const change = (path: string, at: number): void => {
  const bytes = readFileSync(path)
  bytes[at] = (bytes[at] ?? 0) ^ 0xff
  writeFileSync(path, bytes)
}

const faults: Readonly<Record<string, (folder: string) => void>> = {
  'no log': folder => { rmSync(join(folder, 'log')) },
  'an empty log': folder => { writeFileSync(join(folder, 'log'), '') },
  'a log of zeros': folder => { writeFileSync(join(folder, 'log'), Buffer.alloc(4_096)) },
  'a log with a changed byte': folder => { change(join(folder, 'log'), 20) },
  'a log with a changed length': folder => { change(join(folder, 'log'), 2) },
  'no name': folder => { rmSync(join(folder, 'replica')) },
  'an empty name': folder => { writeFileSync(join(folder, 'replica'), '') },
  'neither name nor whole log': folder => {
    rmSync(join(folder, 'replica'))
    change(join(folder, 'log'), 20)
  }
}

for (const [name, spoil] of Object.entries(faults)) {
  t.test(`a control host that finds ${name} starts as a new replica and keeps the log aside`, async t => {
    const folder = await createUsedFolder(t)
    spoil(folder)
    const log = existsSync(join(folder, 'log')) ? readFileSync(join(folder, 'log')) : null
    t.equal(await startAndStop(folder), null)
    const replica = readFileSync(join(folder, 'replica'), 'utf8')
    t.match(replica, /^c1#.{36}$/)
    const opened = await DiskStore.open(folder)
    t.match(opened, { tag: 'ok', value: { image: { term: 0, votedFor: null, snapshot: null, entries: [] } } })
    if (log !== null) t.ok(readFileSync(join(folder, 'log.unusable')).equals(log))
    t.equal(await startAndStop(folder), null)
    t.equal(readFileSync(join(folder, 'replica'), 'utf8'), replica, 'which it stays')
    change(join(folder, 'log'), 20)
    t.equal(await startAndStop(folder), null)
    t.same(readdirSync(folder).sort(), ['log', 'log.unusable', 'replica'], 'one log is kept aside')
  })
}

t.test('a control host keeps its hands off the log of a newer build', async t => {
  const folder = await createUsedFolder(t)
  const opened = await DiskStore.open(folder)
  if (opened.tag === 'error') throw new Error(opened.error.kind)
  await opened.value.store.write([{ kind: 'of-a-newer-build' } as unknown as { kind: 'vote', term: number, votedFor: null }])
  opened.value.store.close()
  const before = readFileSync(join(folder, 'log'))
  t.equal(await startAndStop(folder), 'record-unknown')
  t.ok(readFileSync(join(folder, 'log')).equals(before))
  t.same(readdirSync(folder).sort(), ['log', 'replica'])
})

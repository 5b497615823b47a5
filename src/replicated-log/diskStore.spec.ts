import { mkdtempSync, readFileSync, rmSync, truncateSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import t from 'tap'
import { toId } from '../core/id.js'
import { createConfiguration, takeSnapshot } from '../configuration/configurationTables.js'
import { DiskStore } from './diskStore.js'
import { createReplica } from './replicaCreation.js'
import { foundingImage } from './replicaTables.js'
import type { DiskImage, DiskRecord, Entry, ReplicaId } from './types.js'

const replica = toId<ReplicaId>('c1#0')
const entry = (index: number, term = 1): Entry => ({ index, term, payload: { kind: 'start-of-term' } })

const makeFolder = async (t: { teardown: (run: () => void) => void }): Promise<string> => {
  const folder = mkdtempSync(join(tmpdir(), 'rhubarbseam-disk-'))
  t.teardown(() => { rmSync(folder, { recursive: true }) })
  await createReplica(folder, foundingImage(replica, { voters: [], learners: [] }))
  return folder
}

const open = async (folder: string): Promise<{ store: DiskStore, image: DiskImage }> => {
  const opened = await DiskStore.open(folder)
  if (opened.tag === 'error') throw new Error(JSON.stringify(opened.error))
  return opened.value
}

const write = async (folder: string, records: readonly DiskRecord[]): Promise<void> => {
  const { store } = await open(folder)
  t.same(await store.write(records), { tag: 'ok', value: null })
  store.close()
}

const describe = (image: DiskImage): string => `term ${image.term}, vote ${image.votedFor ?? 'none'}, snapshot ${image.snapshot?.index ?? 'none'}, entries ${image.entries.map(row => `${row.index}@${row.term}`).join(' ')}`

t.test('written records are read back, and a later entry replaces a conflicting one', async t => {
  const folder = await makeFolder(t)
  await write(folder, [{ kind: 'vote', term: 1, votedFor: replica }, { kind: 'entries', entries: [entry(2), entry(3)] }])
  await write(folder, [{ kind: 'entries', entries: [entry(3, 2)] }, { kind: 'vote', term: 2, votedFor: null }])
  t.matchSnapshot(describe((await open(folder)).image))
})

t.test('a snapshot replaces the log and keeps the vote', async t => {
  const folder = await makeFolder(t)
  const snapshot = { index: 3, term: 1, group: { voters: [], learners: [] }, configuration: takeSnapshot(createConfiguration()) }
  await write(folder, [{ kind: 'vote', term: 4, votedFor: replica }, { kind: 'entries', entries: [entry(2), entry(3), entry(4)] }, { kind: 'snapshot', snapshot, kept: [entry(2), entry(3), entry(4)] }, { kind: 'entries', entries: [entry(5)] }])
  t.matchSnapshot(describe((await open(folder)).image))
})

t.test('a file truncated at any byte yields all complete frames and accepts new records', async t => {
  const folder = await makeFolder(t)
  const path = join(folder, 'log')
  const first = readFileSync(path).length
  await write(folder, [{ kind: 'entries', entries: [entry(2)] }])
  const second = readFileSync(path).length
  await write(folder, [{ kind: 'entries', entries: [entry(3)] }])
  const whole = readFileSync(path)
  for (let size = first; size < whole.length; size += 1) {
    writeFileSync(path, whole.subarray(0, size))
    const expected = size < second ? 1 : 2
    const { store, image } = await open(folder)
    store.close()
    if (image.entries.length !== expected) t.fail(`cut at byte ${size}: ${image.entries.length} entries`)
    await write(folder, [{ kind: 'entries', entries: [entry(expected + 1, 9)] }])
    if ((await open(folder)).image.entries.at(-1)?.term !== 9) t.fail(`cut at byte ${size}: new records are not read back`)
  }
  t.pass('every cut')
})

t.test('a torn last frame is truncated, damage before it is an error', async t => {
  const folder = await makeFolder(t)
  const path = join(folder, 'log')
  await write(folder, [{ kind: 'entries', entries: [entry(2)] }])
  const before = readFileSync(path).length
  await write(folder, [{ kind: 'entries', entries: [entry(3)] }])
  const whole = readFileSync(path)
  const torn = Buffer.from(whole)
  torn[whole.length - 1] = (torn[whole.length - 1] ?? 0) ^ 0xff
  writeFileSync(path, torn)
  t.equal((await open(folder)).image.entries.length, 2)
  const damaged = Buffer.from(whole)
  damaged[before - 1] = (damaged[before - 1] ?? 0) ^ 0xff
  writeFileSync(path, damaged)
  const outcome = await DiskStore.open(folder)
  t.equal(outcome.tag === 'error' ? outcome.error.kind : 'opened', 'log-corrupt')
})

t.test('a replica whose log or name holds nothing is not taken for one that has voted for nobody', async t => {
  const contents = { empty: Buffer.alloc(0), 'a few zeros': Buffer.alloc(5), 'a page of zeros': Buffer.alloc(4_096), absent: null }
  for (const file of ['log', 'replica']) {
    for (const [what, content] of Object.entries(contents)) {
      const folder = await makeFolder(t)
      await write(folder, [{ kind: 'vote', term: 3, votedFor: replica }])
      const path = join(folder, file)
      if (content === null) rmSync(path)
      else writeFileSync(path, content)
      t.same(await DiskStore.open(folder), { tag: 'error', error: { kind: 'replica-incomplete', file } }, `${file} ${what}`)
    }
  }
  const folder = await makeFolder(t)
  truncateSync(join(folder, 'log'), 10)
  t.same(await DiskStore.open(folder), { tag: 'error', error: { kind: 'replica-incomplete', file: 'log' } }, 'no whole record')
})

t.test('zeros at the end of the file, as a power loss may leave them, are a torn frame', async t => {
  for (const zeros of [1, 7, 8, 9, 4_096]) {
    const folder = await makeFolder(t)
    const path = join(folder, 'log')
    await write(folder, [{ kind: 'entries', entries: [entry(2)] }])
    const whole = readFileSync(path)
    writeFileSync(path, Buffer.concat([whole, Buffer.alloc(zeros)]))
    t.equal((await open(folder)).image.entries.length, 2, `${zeros} zeros`)
    await write(folder, [{ kind: 'entries', entries: [entry(3, 9)] }])
    t.equal((await open(folder)).image.entries.at(-1)?.term, 9, `${zeros} zeros: new records are read back`)
    writeFileSync(path, Buffer.concat([Buffer.alloc(zeros + 8), whole]))
    const outcome = await DiskStore.open(folder)
    t.equal(outcome.tag === 'error' ? outcome.error.kind : 'opened', 'log-corrupt', `${zeros} zeros before a frame are damage`)
  }
})

t.test('a replica is created only once in a folder', async t => {
  const folder = await makeFolder(t)
  t.matchSnapshot(await createReplica(folder, foundingImage(replica, { voters: [], learners: [] })))
  t.equal((await DiskStore.open(join(folder, 'absent'))).tag, 'error')
})

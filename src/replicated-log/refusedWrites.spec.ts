import t from 'tap'
import { createConfiguration, takeSnapshot } from '../configuration/configurationTables.js'
import { toId } from '../core/id.js'
import { SeededRandom } from '../core/random.js'
import { MemoryFolder } from '../stand-ins/memoryFolder.js'
import type { FullDisk } from '../stand-ins/memoryFolder.js'
import { encodeRecord } from './diskFormat.js'
import { DiskStore } from './diskStore.js'
import { createReplicaIn } from './replicaCreation.js'
import { foundingImage } from './replicaTables.js'
import type { DiskImage, DiskRecord, Entry, LogSnapshot, ReplicaId } from './types.js'

// Guards against records that count as written although only a part of them is on the disk.

const replica = toId<ReplicaId>('c1#0')
const entry = (index: number, term = 1): Entry => ({ index, term, payload: { kind: 'start-of-term' } })
const entries = (from: number, to: number, term = 1): DiskRecord => ({ kind: 'entries', entries: Array.from({ length: to - from + 1 }, (_, n) => entry(from + n, term)) })
const snapshotAt = (index: number): LogSnapshot => ({ index, term: 1, group: { voters: [], learners: [] }, configuration: { ...takeSnapshot(createConfiguration()), index } })

/** What the log holds before each of the writes. */
const BASE: readonly DiskRecord[] = [{ kind: 'vote', term: 3, votedFor: replica }, entries(2, 6)]

interface Case { readonly records: readonly DiskRecord[], /** Numbers of records after which the disk may stand. */ readonly stages: readonly number[] }

const cases: Readonly<Record<string, Case>> = {
  'a vote': { records: [{ kind: 'vote', term: 4, votedFor: null }], stages: [0, 1] },
  'an entry': { records: [entries(7, 7)], stages: [0, 1] },
  'many entries': { records: [entries(7, 40)], stages: [0, 1] },
  'entries that replace others': { records: [entries(4, 9, 2)], stages: [0, 1] },
  'a vote, entries and a vote': { records: [{ kind: 'vote', term: 4, votedFor: null }, entries(7, 9), { kind: 'vote', term: 5, votedFor: replica }], stages: [0, 1, 2, 3] },
  'an installed snapshot': { records: [{ kind: 'snapshot', snapshot: snapshotAt(20), kept: [] }], stages: [0, 1] },
  'entries, an installed snapshot and an entry': { records: [entries(7, 9), { kind: 'snapshot', snapshot: snapshotAt(20), kept: [] }, entries(21, 21)], stages: [0, 2, 3] }
}

const compaction: DiskRecord = { kind: 'snapshot', snapshot: snapshotAt(5), kept: [entry(6)], isCompaction: true }

const describe = (image: DiskImage): string =>
  `term ${image.term}, vote ${image.votedFor ?? 'none'}, snapshot ${image.snapshot?.index ?? 'none'}, entries ${image.entries.map(row => `${row.index}@${row.term}`).join(' ')}`

const create = async (): Promise<MemoryFolder> => {
  const folder = new MemoryFolder()
  await createReplicaIn(folder, foundingImage(replica, { voters: [], learners: [] }))
  const { store } = await open(folder)
  await store.write(BASE)
  store.close()
  return folder
}

const open = async (folder: MemoryFolder): Promise<{ store: DiskStore, image: DiskImage }> => {
  const opened = await DiskStore.openIn(folder)
  if (opened.tag === 'error') throw new Error(JSON.stringify(opened.error))
  return opened.value
}

const readBack = async (folder: MemoryFolder): Promise<string> => describe((await open(folder)).image)

const stateAfter = async (records: readonly DiskRecord[]): Promise<string> => {
  const folder = await create()
  const { store } = await open(folder)
  await store.write(records)
  return await readBack(folder.afterKill())
}

const bytesOf = (records: readonly DiskRecord[]): number => records.reduce((bytes, record) => bytes + encodeRecord(record).length, 0)

for (const fullDisk of ['short-write', 'refuse'] as const satisfies readonly FullDisk[]) {
  for (const [name, { records, stages }] of Object.entries(cases)) {
    t.test(`${name}: with room for any number of bytes all of a record counts, or nothing (${fullDisk})`, async t => {
      const states = new Map<number, string>()
      for (const stage of stages) states.set(stage, await stateAfter(records.slice(0, stage)))
      // A snapshot is written together with the vote.
      const enough = bytesOf(records) + bytesOf(BASE)
      for (let room = 0; room <= enough; room += 1) {
        const folder = await create()
        const { store } = await open(folder)
        folder.fullDisk = fullDisk
        folder.room = room
        const outcome = await store.write(records)
        const written = outcome.tag === 'ok' ? records.length : outcome.error.written
        const expected = states.get(written)
        const random = new SeededRandom(room + 1)
        const found = [await readBack(folder.afterKill()), await readBack(folder.afterPowerLoss(random)), await readBack(folder.afterPowerLoss(random))]
        for (const state of found) if (state !== expected) t.fail(`room for ${room} bytes, ${written} written: ${state}`)
        folder.room = Number.POSITIVE_INFINITY
        const again = await store.write(records.slice(written))
        if (again.tag === 'error' || await readBack(folder.afterPowerLoss(random)) !== states.get(records.length)) t.fail(`room for ${room} bytes: the second try fails`)
      }
      t.pass('every number of bytes')
    })
  }

  t.test(`a compaction that doesn't fit leaves the log in use (${fullDisk})`, async t => {
    const before = await stateAfter([])
    const after = await stateAfter([compaction])
    const next = await stateAfter([entries(7, 7)])
    const both = await stateAfter([compaction, entries(7, 7)])
    let skipped = 0
    for (let room = 0; room <= bytesOf([compaction, ...BASE]); room += 1) {
      const folder = await create()
      const opened = await DiskStore.openIn(folder, () => { skipped += 1 })
      if (opened.tag === 'error') throw new Error('not opened')
      const { store } = opened.value
      folder.fullDisk = fullDisk
      folder.room = room
      const skippedBefore = skipped
      t.equal((await store.write([compaction])).tag, 'ok')
      const isSkipped = skipped > skippedBefore
      if (await readBack(folder.afterPowerLoss(new SeededRandom(room + 1))) !== (isSkipped ? before : after)) t.fail(`room for ${room} bytes`)
      folder.room = Number.POSITIVE_INFINITY
      await store.write([entries(7, 7)])
      if (await readBack(folder.afterKill()) !== (isSkipped ? next : both)) t.fail(`room for ${room} bytes: a later entry is lost`)
    }
    t.ok(skipped > 0, `${skipped} skipped`)
  })
}

t.test('a power loss amid a write after a refused one never damages the log', async t => {
  for (let seed = 1; seed <= 400; seed += 1) {
    const random = new SeededRandom(seed)
    const folder = await create()
    const { store } = await open(folder)
    folder.fullDisk = 'short-write'
    folder.room = random.below(bytesOf([entries(7, 40)]))
    await store.write([entries(7, 40)])
    folder.room = Number.POSITIVE_INFINITY
    // The power may fail before the write below is synced.
    const pending = store.write([{ kind: 'vote', term: 9, votedFor: null }])
    for (let turn = random.below(8); turn > 0; turn -= 1) await Promise.resolve()
    const lost = folder.afterPowerLoss(random)
    await pending
    const opened = await DiskStore.openIn(lost)
    if (opened.tag === 'error') t.fail(`seed ${seed}: ${opened.error.kind}`)
    else if (opened.value.image.entries.length !== 6) t.fail(`seed ${seed}: ${describe(opened.value.image)}`)
  }
  t.pass('400 seeds')
})

t.test('a replica that does not fit is not created, and a temporary file of a crash is removed at the start', async t => {
  const image = foundingImage(replica, { voters: [], learners: [] })
  for (let room = 0; ; room += 1) {
    const folder = new MemoryFolder()
    folder.fullDisk = room % 2 === 0 ? 'refuse' : 'short-write'
    folder.room = room
    const created = await createReplicaIn(folder, image)
    if (created.tag === 'ok') break
    t.notOk(folder.exists('replica'))
    folder.room = Number.POSITIVE_INFINITY
    t.equal((await createReplicaIn(folder, image)).tag, 'ok')
    t.equal((await open(folder)).image.entries.length, 1)
  }
  const folder = await create()
  const temporary = folder.open('log.tmp', 'create')
  await temporary.write(Buffer.from('half a snapshot'), 0)
  await open(folder)
  t.same(folder.list().sort(), ['log', 'replica'])
})

t.test('a replica with a torn frame starts while the disk refuses to cut it off, and does so before the next write', async t => {
  const folder = await create()
  const log = folder.open('log', 'update')
  await log.write(encodeRecord(entries(7, 40)).subarray(0, -1), folder.read('log').length)
  await log.sync()
  folder.refusesChanges = true
  const { store, image } = await open(folder)
  t.equal(image.entries.length, 6)
  t.match(await store.write([entries(7, 7, 2)]), { tag: 'error', error: { kind: 'write-refused', written: 0 } })
  t.equal((await open(folder.afterKill())).image.entries.length, 6)
  folder.refusesChanges = false
  t.equal((await store.write([entries(7, 7, 2)])).tag, 'ok')
  const random = new SeededRandom(1)
  t.match((await open(folder.afterPowerLoss(random))).image.entries.at(-1), { index: 7, term: 2 })
})

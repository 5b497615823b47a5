import t from 'tap'
import { createConfiguration, takeSnapshot } from '../configuration/configurationTables.js'
import { toId } from '../core/id.js'
import type { OperatorId, RequestId, ZoneId } from '../core/id.js'
import { SeededRandom } from '../core/random.js'
import { MemoryFolder } from '../stand-ins/memoryFolder.js'
import { DiskStore } from './diskStore.js'
import { createReplicaIn, openReplicaIn } from './replicaCreation.js'
import { foundingImage } from './replicaTables.js'
import type { DiskImage, DiskRecord, Entry, Group, LogSnapshot, ReplicaId } from './types.js'

// Guards against a replica that has forgotten what it confirmed before a kill and a loss of power.

const SEED = Number(process.env.RHUBARBSEAM_SEED ?? 1)
const RUNS = Number(process.env.RHUBARBSEAM_RUNS ?? 60)

const founder = toId<ReplicaId>('c1#0')
const founding = foundingImage(founder, { voters: [], learners: [] })

// Its text reaches over several pages.
const entry = (index: number): Entry => ({
  index,
  term: 1,
  payload: { kind: 'command', envelope: { requestId: toId<RequestId>(`${index}-${'x'.repeat(index * 1_300)}`), operator: toId<OperatorId>('ann'), roles: ['assign'], command: { kind: 'start-evacuation', zone: toId<ZoneId>('z') } } }
})
const snapshotAt = (index: number): LogSnapshot => ({ index, term: 1, group: { voters: [], learners: [] }, configuration: { ...takeSnapshot(createConfiguration()), index } })

const WRITES: readonly DiskRecord[] = [
  { kind: 'vote', term: 1, votedFor: founder },
  { kind: 'entries', entries: [entry(2), entry(3), entry(4)] },
  { kind: 'snapshot', snapshot: snapshotAt(3), kept: [entry(4)], isCompaction: true },
  { kind: 'vote', term: 2, votedFor: null },
  { kind: 'entries', entries: [entry(5)] },
  { kind: 'snapshot', snapshot: snapshotAt(20), kept: [] }
]

/** What a replica may have confirmed to others. */
interface Confirmed { readonly term: number, readonly lastIndex: number }

const lastIndexOf = ({ entries, snapshot }: DiskImage): number => entries.at(-1)?.index ?? snapshot?.index ?? 0

const open = async (folder: MemoryFolder): Promise<{ store: DiskStore, image: DiskImage }> => {
  const opened = await DiskStore.openIn(folder)
  if (opened.tag === 'error') throw new Error(JSON.stringify(opened.error))
  return opened.value
}

const lacks = (image: DiskImage, confirmed: Confirmed): string | null => {
  if (image.replica !== founder) return `is ${image.replica}`
  if (image.term < confirmed.term) return `forgets term ${confirmed.term}`
  return lastIndexOf(image) < confirmed.lastIndex ? `forgets entry ${confirmed.lastIndex}` : null
}

/** Runs an operation and keeps a copy of the folder at each of its steps. */
const copiesAtEachStep = async (folder: MemoryFolder, run: () => Promise<unknown>): Promise<MemoryFolder[]> => {
  const copies = [folder.afterKill()]
  folder.onStep = () => { copies.push(folder.afterKill()) }
  await run()
  folder.onStep = () => {}
  return copies
}

t.test('a replica that is killed or loses power amid a write remembers all that it confirmed', async t => {
  const random = new SeededRandom(SEED)
  const wrong: string[] = []
  const folder = new MemoryFolder()
  await createReplicaIn(folder, founding)
  const { store } = await open(folder)
  let confirmed: Confirmed = { term: 0, lastIndex: 1 }
  for (const [number, record] of WRITES.entries()) {
    const copies = await copiesAtEachStep(folder, async () => await store.write([record]))
    for (const [step, copy] of copies.entries()) {
      for (let run = 0; run < RUNS; run += 1) {
        const opened = await DiskStore.openIn(copy.afterPowerLoss(random))
        const failure = opened.tag === 'error' ? opened.error.kind : lacks(opened.value.image, confirmed)
        if (failure !== null) wrong.push(`write ${number}, step ${step}, run ${run}: ${failure}`)
      }
    }
    const { image } = await open(folder.afterKill())
    confirmed = { term: image.term, lastIndex: lastIndexOf(image) }
  }
  t.same(confirmed, { term: 2, lastIndex: 20 })
  t.same(wrong.slice(0, 5), [], `${wrong.length} wrong`)
})

t.test('a replica that is killed amid a write, starts, votes and loses power remembers its vote', async t => {
  const random = new SeededRandom(SEED)
  const wrong: string[] = []
  const folder = new MemoryFolder()
  await createReplicaIn(folder, founding)
  const { store } = await open(folder)
  for (const [number, record] of WRITES.entries()) {
    const copies = await copiesAtEachStep(folder, async () => await store.write([record]))
    for (const [step, copy] of copies.entries()) {
      const killed = copy.afterKill()
      const restarted = await open(killed)
      const { image } = restarted
      await restarted.store.write([{ kind: 'vote', term: 9, votedFor: founder }])
      for (let run = 0; run < RUNS; run += 1) {
        const opened = await DiskStore.openIn(killed.afterPowerLoss(random))
        const failure = opened.tag === 'error' ? opened.error.kind : lacks(opened.value.image, { term: 9, lastIndex: lastIndexOf(image) })
        if (failure !== null) wrong.push(`write ${number}, step ${step}, run ${run}: ${failure}`)
      }
    }
  }
  t.same(wrong.slice(0, 5), [], `${wrong.length} wrong`)
})

t.test('a replica that is killed amid its creation, starts, votes and loses power remembers its vote', async t => {
  const random = new SeededRandom(SEED)
  const wrong: string[] = []
  const folder = new MemoryFolder()
  const copies = await copiesAtEachStep(folder, async () => await createReplicaIn(folder, founding))
  for (const [step, killed] of copies.entries()) {
    await createReplicaIn(killed, founding)
    const { store } = await open(killed)
    await store.write([{ kind: 'vote', term: 9, votedFor: founder }])
    for (let run = 0; run < RUNS; run += 1) {
      const opened = await DiskStore.openIn(killed.afterPowerLoss(random))
      const failure = opened.tag === 'error' ? JSON.stringify(opened.error) : lacks(opened.value.image, { term: 9, lastIndex: 1 })
      if (failure !== null) wrong.push(`step ${step}, run ${run}: ${failure}`)
    }
  }
  t.same(wrong.slice(0, 5), [], `${wrong.length} wrong`)
})

const group: Group = { voters: [{ replica: founder, host: toId('c1'), link: { address: '10.0.0.1', port: 1 } }], learners: [] }

const openAs = async (folder: MemoryFolder, founders: Group | null): Promise<{ image: DiskImage, store: DiskStore, isLost: boolean }> => {
  let isLost = false
  const opened = await openReplicaIn(folder, { host: toId('c1'), founders, onLost: () => { isLost = true }, onSnapshotSkipped: () => {} })
  if (opened.tag === 'error') throw new Error(JSON.stringify(opened.error))
  return { ...opened.value, isLost }
}

/** What a folder may hold once the process is killed at a step, or the power fails there. */
const survivors = (copy: MemoryFolder, random: SeededRandom): MemoryFolder[] =>
  [copy.afterKill(), ...Array.from({ length: RUNS }, () => copy.afterPowerLoss(random))]

t.test('a founder that is stopped amid the creation of its replica starts as the founder that it was', async t => {
  const random = new SeededRandom(SEED)
  const wrong: string[] = []
  const folder = new MemoryFolder()
  const copies = await copiesAtEachStep(folder, async () => await openAs(folder, group))
  for (const [step, copy] of copies.entries()) {
    for (const survivor of survivors(copy, random)) {
      const { image, isLost } = await openAs(survivor, group)
      if (image.replica !== founder || image.entries.length !== 1 || isLost) wrong.push(`step ${step}: ${image.replica}`)
    }
  }
  t.same(wrong.slice(0, 5), [], `${wrong.length} wrong`)
})

t.test('a founder that is stopped once its first log is written is still one when it may no longer found', async t => {
  const random = new SeededRandom(SEED)
  const wrong: string[] = []
  const folder = new MemoryFolder()
  const copies = await copiesAtEachStep(folder, async () => await openAs(folder, group))
  for (const [step, copy] of copies.entries()) {
    for (const survivor of survivors(copy, random)) {
      const isBegun = survivor.exists('log')
      const { image, isLost } = await openAs(survivor, null)
      if ((image.replica === founder) !== isBegun || isLost) wrong.push(`step ${step}: ${image.replica}`)
    }
  }
  t.same(wrong.slice(0, 5), [], `${wrong.length} wrong`)
})

t.test('a host that is stopped amid giving up its replica never takes part under the name of that again', async t => {
  const random = new SeededRandom(SEED)
  const wrong: string[] = []
  for (const lostFile of ['log', 'replica', null]) {
    const folder = new MemoryFolder()
    const { store } = await openAs(folder, group)
    await store.write(WRITES.slice(0, 2))
    if (lostFile === null) {
      const log = folder.open('log', 'update')
      await log.write(Buffer.of(255), 20)
      await log.sync()
    } else folder.remove(lostFile)
    folder.sync()
    const copies = await copiesAtEachStep(folder, async () => await openAs(folder, group))
    for (const [step, copy] of copies.entries()) {
      for (const survivor of survivors(copy, random)) {
        const { image, store } = await openAs(survivor, group)
        await store.write([{ kind: 'vote', term: 9, votedFor: null }])
        const again = await openAs(survivor.afterPowerLoss(random), group)
        if (image.replica === founder || again.image.replica !== image.replica || again.image.term !== 9) wrong.push(`${lostFile === null ? 'log damaged' : `no ${lostFile}`}, step ${step}: ${image.replica}, then ${again.image.replica}`)
        if (survivor.list().some(name => !['log', 'log.unusable', 'replica'].includes(name))) wrong.push(`step ${step}: ${survivor.list().join(' ')}`)
      }
    }
  }
  t.same(wrong.slice(0, 5), [], `${wrong.length} wrong`)
})

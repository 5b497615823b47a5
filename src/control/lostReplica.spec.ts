import { existsSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import t from 'tap'
import type { Test } from 'tap'
import { toId } from '../core/id.js'
import { DiskStore } from '../replicated-log/diskStore.js'
import type { DiskRecord, Entry, ReplicaId } from '../replicated-log/types.js'
import { LocalControl } from '../stand-ins/localControl.js'
import type { LocalHost } from '../stand-ins/localControl.js'

// Guards against a control host that needs a person to start again, and against one that starts as a replica that has forgotten its vote.

const entry: Entry = { index: 2, term: 1, payload: { kind: 'start-of-term' } }

/** A control host that may found the group alone, with the data folder of a replica that has voted and holds an entry. */
class UsedFolder {
  private constructor (readonly control: LocalControl, readonly host: LocalHost) {}

  static async create (t: Test): Promise<UsedFolder> {
    const control = await LocalControl.create(['c1'], 1)
    t.teardown(async () => { await control.close() })
    const used = new UsedFolder(control, control.hosts[0] as LocalHost)
    t.equal(await used.startAndStop(), null)
    await used.write([{ kind: 'vote', term: 7, votedFor: toId<ReplicaId>('c1#0') }, { kind: 'entries', entries: [entry] }])
    return used
  }

  get path (): string { return this.host.dataFolder }

  async write (records: readonly DiskRecord[]): Promise<void> {
    const opened = await DiskStore.open(this.path)
    if (opened.tag === 'error') throw new Error(opened.error.kind)
    await opened.value.store.write(records)
    opened.value.store.close()
  }

  /** Starts and stops the host. Returns what went wrong; null if nothing did. */
  async startAndStop (): Promise<string | null> {
    const started = await this.control.start(this.host)
    await this.control.stop(this.host)
    return started.tag === 'ok' ? null : started.error.kind
  }
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
    const used = await UsedFolder.create(t)
    const folder = used.path
    spoil(folder)
    const log = existsSync(join(folder, 'log')) ? readFileSync(join(folder, 'log')) : null
    t.equal(await used.startAndStop(), null)
    const replica = readFileSync(join(folder, 'replica'), 'utf8')
    t.match(replica, /^c1#.{36}$/)
    const opened = await DiskStore.open(folder)
    t.match(opened, { tag: 'ok', value: { image: { term: 0, votedFor: null, snapshot: null, entries: [] } } })
    if (log !== null) t.ok(readFileSync(join(folder, 'log.unusable')).equals(log))
    t.equal(await used.startAndStop(), null)
    t.equal(readFileSync(join(folder, 'replica'), 'utf8'), replica, 'which it stays')
    change(join(folder, 'log'), 20)
    t.equal(await used.startAndStop(), null)
    t.same(readdirSync(folder).sort(), ['log', 'log.unusable', 'replica'], 'one log is kept aside')
  })
}

t.test('a control host leaves the log of a newer build as it is', async t => {
  const used = await UsedFolder.create(t)
  await used.write([{ kind: 'of-a-newer-build' } as unknown as DiskRecord])
  const before = readFileSync(join(used.path, 'log'))
  t.equal(await used.startAndStop(), 'record-unknown')
  t.ok(readFileSync(join(used.path, 'log')).equals(before))
  t.same(readdirSync(used.path).sort(), ['log', 'replica'])
})

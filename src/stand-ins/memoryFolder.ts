/** A folder in memory whose disk has limited room, may write short, and loses what was not synced in a power loss. */

import type { Random } from '../core/random.js'
import type { StorageFile, StorageFolder } from '../replicated-log/storageFolder.js'

/** What happens to a write for which there is not enough room: it writes a part, or nothing. */
export type FullDisk = 'short-write' | 'refuse'

const PAGE_BYTES = 4_096

type FileChange =
  | { readonly kind: 'write', readonly position: number, readonly bytes: Buffer }
  | { readonly kind: 'truncate', readonly length: number }

/** Content of a file as the last sync left it, and the changes since then. */
class MemoryFile {
  /** Whether no sync has made a name of the file durable yet. */
  isNew = true

  constructor (public durable: Buffer = Buffer.alloc(0), public unsynced: FileChange[] = []) {}

  get content (): Buffer { return this.unsynced.reduce(applyChange, this.durable) }
}

const applyChange = (content: Buffer, change: FileChange): Buffer => {
  if (change.kind === 'truncate') return content.subarray(0, change.length)
  const grown = Buffer.alloc(Math.max(content.length, change.position + change.bytes.length))
  content.copy(grown)
  change.bytes.copy(grown, change.position)
  return grown
}

// The pages of a torn write are kept or not, each by itself; the file may reach to its end all the same.
const tornWrite = (position: number, bytes: Buffer, random: Random): FileChange[] => {
  const kept: FileChange[] = []
  const reach = random.below(2) === 0 ? bytes.length : random.below(bytes.length + 1)
  for (let start = 0; start < reach;) {
    const end = Math.min(start + PAGE_BYTES - (position + start) % PAGE_BYTES, reach)
    if (random.below(2) === 0) kept.push({ kind: 'write', position: position + start, bytes: bytes.subarray(start, end) })
    start = end
  }
  if (random.below(2) === 0) kept.push({ kind: 'write', position: position + reach, bytes: Buffer.alloc(0) })
  return kept
}

// A change that was not synced is kept, lost or torn.
const survivingChanges = (change: FileChange, random: Random): readonly FileChange[] => {
  const fate = random.below(3)
  if (fate === 0) return []
  if (fate === 1 || change.kind === 'truncate') return [change]
  return tornWrite(change.position, change.bytes, random)
}

const contentAfterPowerLoss = (file: MemoryFile, random: Random): Buffer => {
  let content = file.durable
  for (const change of file.unsynced) content = survivingChanges(change, random).reduce(applyChange, content)
  return Buffer.from(content)
}

const faultyDiskError = (): Error => Object.assign(new Error('EIO: i/o error'), { code: 'EIO' })

const fullDiskError = (): Error => Object.assign(new Error('ENOSPC: no space left on device'), { code: 'ENOSPC' })

/**
 * Files by name. `room` is how many bytes may still be written. A new name is durable after a sync of its file, renamed and removed
 * names after a sync of the folder.
 */
export class MemoryFolder implements StorageFolder {
  room = Number.POSITIVE_INFINITY
  fullDisk: FullDisk = 'refuse'
  /** Whether the disk refuses every change, as a faulty one does; files can still be read, opened and synced. */
  refusesChanges = false
  /** Called after each change of the folder or one of its files, and after each sync. */
  onStep: () => void = () => {}
  #names = new Map<string, MemoryFile>()
  #durableNames = new Map<string, MemoryFile>()

  exists (name: string): boolean { return this.#names.has(name) }

  list (): string[] { return [...this.#names.keys()] }

  read (name: string): Buffer {
    const file = this.#names.get(name)
    if (file === undefined) throw new Error(`ENOENT: ${name}`)
    return file.content
  }

  open (name: string, mode: 'create' | 'update'): StorageFile {
    if (mode === 'create') {
      this.#checkChange()
      if (this.room <= 0) throw fullDiskError()
      this.#names.set(name, new MemoryFile())
      this.onStep()
    }
    const file = this.#names.get(name)
    if (file === undefined) throw new Error(`ENOENT: ${name}`)
    return this.#handle(file)
  }

  rename (from: string, to: string): void {
    this.#checkChange()
    const file = this.#names.get(from)
    if (file === undefined) throw new Error(`ENOENT: ${from}`)
    this.#names.delete(from)
    this.#names.set(to, file)
    this.onStep()
  }

  remove (name: string): void {
    this.#checkChange()
    this.#names.delete(name)
    this.onStep()
  }

  sync (): void {
    this.#durableNames = new Map(this.#names)
    for (const file of this.#names.values()) file.isNew = false
    this.onStep()
  }

  /** The folder after the process has died: all that was written is there, and what was not synced is still not. */
  afterKill (): MemoryFolder {
    const copies = new Map<MemoryFile, MemoryFile>()
    const copyOf = (file: MemoryFile): MemoryFile => {
      const copy = copies.get(file) ?? new MemoryFile(file.durable, [...file.unsynced])
      copy.isNew = file.isNew
      copies.set(file, copy)
      return copy
    }
    const folder = new MemoryFolder()
    for (const [name, file] of this.#names) folder.#names.set(name, copyOf(file))
    for (const [name, file] of this.#durableNames) folder.#durableNames.set(name, copyOf(file))
    return folder
  }

  /** The folder after a power loss: of what was not synced, each change of a file is kept, lost or torn, and each name is kept or lost. */
  afterPowerLoss (random: Random): MemoryFolder {
    const folder = new MemoryFolder()
    for (const name of new Set([...this.#durableNames.keys(), ...this.#names.keys()])) {
      const file = (random.below(2) === 0 ? this.#names : this.#durableNames).get(name)
      if (file !== undefined) folder.#names.set(name, new MemoryFile(contentAfterPowerLoss(file, random)))
    }
    folder.sync()
    return folder
  }

  #checkChange (): void {
    if (this.refusesChanges) throw faultyDiskError()
  }

  #handle (file: MemoryFile): StorageFile {
    return {
      write: async (bytes, position) => {
        this.#checkChange()
        const count = this.#countAccepted(bytes.length)
        file.unsynced.push({ kind: 'write', position, bytes: Buffer.from(bytes.subarray(0, count)) })
        this.onStep()
        return count
      },
      truncate: async length => {
        this.#checkChange()
        file.unsynced.push({ kind: 'truncate', length })
        this.onStep()
      },
      sync: async () => {
        file.durable = file.content
        file.unsynced = []
        this.#keepNewNames(file)
        this.onStep()
      },
      close: () => {}
    }
  }

  #keepNewNames (file: MemoryFile): void {
    if (!file.isNew) return
    for (const [name, named] of this.#names) {
      if (named === file) this.#durableNames.set(name, file)
    }
    file.isNew = false
  }

  #countAccepted (length: number): number {
    if (length <= this.room) {
      this.room -= length
      return length
    }
    if (this.fullDisk === 'refuse' || this.room === 0) throw fullDiskError()
    const count = this.room
    this.room = 0
    return count
  }
}

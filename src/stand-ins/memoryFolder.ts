/** A folder in memory whose disk has limited room, may write short, and loses what was not synced in a power loss. */

import type { Random } from '../core/random.js'
import type { StorageFile, StorageFolder } from '../replicated-log/storageFolder.js'

/** What happens to a write for which there is not enough room: it writes a part, or nothing. */
export type FullDisk = 'short-write' | 'refuse'

type FileChange =
  | { readonly kind: 'write', readonly position: number, readonly bytes: Buffer }
  | { readonly kind: 'truncate', readonly length: number }

/** Content of a file as the last sync left it, and the changes since then. */
class MemoryFile {
  durable: Buffer = Buffer.alloc(0)
  unsynced: FileChange[] = []

  get content (): Buffer { return this.unsynced.reduce(applyChange, this.durable) }
}

const applyChange = (content: Buffer, change: FileChange): Buffer => {
  if (change.kind === 'truncate') return content.subarray(0, change.length)
  const grown = Buffer.alloc(Math.max(content.length, change.position + change.bytes.length))
  content.copy(grown)
  change.bytes.copy(grown, change.position)
  return grown
}

// A change that was not synced is kept, lost or torn.
const survivingChange = (change: FileChange, random: Random): FileChange | null => {
  const fate = random.below(3)
  if (fate === 0) return null
  if (fate === 1 || change.kind === 'truncate') return change
  return { ...change, bytes: change.bytes.subarray(0, random.below(change.bytes.length + 1)) }
}

const fullDiskError = (): Error => Object.assign(new Error('ENOSPC: no space left on device'), { code: 'ENOSPC' })

/** Files by name. `room` is how many bytes may still be written; renamed and removed names are durable after a sync of the folder. */
export class MemoryFolder implements StorageFolder {
  room = Number.POSITIVE_INFINITY
  fullDisk: FullDisk = 'refuse'
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
      if (this.room <= 0) throw fullDiskError()
      this.#names.set(name, new MemoryFile())
    }
    const file = this.#names.get(name)
    if (file === undefined) throw new Error(`ENOENT: ${name}`)
    return this.#handle(file)
  }

  rename (from: string, to: string): void {
    const file = this.#names.get(from)
    if (file === undefined) throw new Error(`ENOENT: ${from}`)
    this.#names.delete(from)
    this.#names.set(to, file)
  }

  remove (name: string): void { this.#names.delete(name) }

  sync (): void { this.#durableNames = new Map(this.#names) }

  /** The folder after the process has died: all that was written is there. */
  afterKill (): MemoryFolder { return this.#copy(this.#names, file => file.content) }

  /** The folder after a power loss: of what was not synced, each change is kept, lost or torn. */
  afterPowerLoss (random: Random): MemoryFolder {
    const names = random.below(2) === 0 ? this.#names : this.#durableNames
    return this.#copy(names, file => {
      let content = file.durable
      for (const change of file.unsynced) {
        const surviving = survivingChange(change, random)
        if (surviving !== null) content = applyChange(content, surviving)
      }
      return content
    })
  }

  #copy (names: ReadonlyMap<string, MemoryFile>, contentOf: (file: MemoryFile) => Buffer): MemoryFolder {
    const folder = new MemoryFolder()
    for (const [name, file] of names) {
      const copy = new MemoryFile()
      copy.durable = Buffer.from(contentOf(file))
      folder.#names.set(name, copy)
    }
    folder.sync()
    return folder
  }

  #handle (file: MemoryFile): StorageFile {
    return {
      write: async (bytes, position) => {
        const count = this.#countAccepted(bytes.length)
        file.unsynced.push({ kind: 'write', position, bytes: Buffer.from(bytes.subarray(0, count)) })
        return count
      },
      truncate: async length => { file.unsynced.push({ kind: 'truncate', length }) },
      sync: async () => {
        file.durable = file.content
        file.unsynced = []
      },
      close: () => {}
    }
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

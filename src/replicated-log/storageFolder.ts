/** The files of a replica. A write may be short or refused, as on a full disk; the store built on it copes with both. */

import { closeSync, existsSync, fsync, fsyncSync, ftruncate, mkdirSync, openSync, readFileSync, readdirSync, renameSync, statfsSync, unlinkSync, write } from 'node:fs'
import { promisify } from 'node:util'
import { dirname, join, resolve } from 'node:path'

/** A file that is open for writing. */
export interface StorageFile {
  /** Writes bytes at a position and returns how many were written, which may be fewer than all. */
  write (bytes: Uint8Array, position: number): Promise<number>
  truncate (length: number): Promise<void>
  sync (): Promise<void>
  close (): void
}

/** The folder that holds the files of one replica. */
export interface StorageFolder {
  exists (name: string): boolean
  list (): string[]
  read (name: string): Buffer
  /** Opens a file for writing; `create` empties it, `update` keeps its content. */
  open (name: string, mode: 'create' | 'update'): StorageFile
  rename (from: string, to: string): void
  remove (name: string): void
  /** Makes created, renamed and removed names durable. */
  sync (): void
}

const writeAsync = promisify(write)
const fsyncAsync = promisify(fsync)
const truncateAsync = promisify(ftruncate)

class NodeFile implements StorageFile {
  constructor (readonly descriptor: number) {}

  async write (bytes: Uint8Array, position: number): Promise<number> {
    const { bytesWritten } = await writeAsync(this.descriptor, bytes, 0, bytes.length, position)
    return bytesWritten
  }

  async truncate (length: number): Promise<void> { await truncateAsync(this.descriptor, length) }

  async sync (): Promise<void> { await fsyncAsync(this.descriptor) }

  close (): void { closeSync(this.descriptor) }
}

/** Size of the disk that holds a folder, in bytes; null if the system doesn't tell. */
export const diskSize = (path: string): number | null => {
  try {
    const { blocks, bsize } = statfsSync(path)
    return blocks * bsize
  } catch {
    return null
  }
}

const syncFolder = (path: string): void => {
  const descriptor = openSync(path, 'r')
  try {
    fsyncSync(descriptor)
  } finally {
    closeSync(descriptor)
  }
}

// A folder that this user may not read can't be synced.
const syncIfReadable = (path: string): void => {
  try {
    syncFolder(path)
  } catch (error) {
    if (!(error instanceof Error && 'code' in error && error.code === 'EACCES')) throw error
  }
}

// The name of a new folder is durable once the folder above it is synced.
const createFolder = (path: string): void => {
  const created = mkdirSync(path, { recursive: true })
  if (created === undefined) return
  const highest = resolve(created)
  for (let folder = resolve(path); folder.length >= highest.length; folder = dirname(folder)) syncIfReadable(dirname(folder))
}

/** A folder of the file system; created if it is missing. */
export class NodeFolder implements StorageFolder {
  constructor (readonly path: string) {}

  exists (name: string): boolean { return existsSync(join(this.path, name)) }

  list (): string[] { return existsSync(this.path) ? readdirSync(this.path) : [] }

  read (name: string): Buffer { return readFileSync(join(this.path, name)) }

  open (name: string, mode: 'create' | 'update'): StorageFile {
    if (mode === 'create') createFolder(this.path)
    return new NodeFile(openSync(join(this.path, name), mode === 'create' ? 'w' : 'r+'))
  }

  rename (from: string, to: string): void { renameSync(join(this.path, from), join(this.path, to)) }

  remove (name: string): void { unlinkSync(join(this.path, name)) }

  sync (): void { syncFolder(this.path) }
}

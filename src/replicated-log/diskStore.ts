/**
 * The log on disk: one append-only file that is replaced atomically when a snapshot is written. It does I/O, so it is used by
 * the runtime and never by a system.
 */

import { closeSync, existsSync, fsync, fsyncSync, ftruncateSync, mkdirSync, openSync, readFileSync, renameSync, write, writeSync } from 'node:fs'
import { promisify } from 'node:util'
import { join } from 'node:path'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import { toId } from '../core/id.js'
import { buildImage, decodeLog, encodeRecord } from './diskFormat.js'
import type { DiskError } from './diskFormat.js'
import type { DiskImage, DiskRecord, ReplicaId } from './types.js'

const LOG_FILE = 'log'
const REPLICA_FILE = 'replica'

const writeAsync = promisify(write)
const fsyncAsync = promisify(fsync)

const syncFolder = (folder: string): void => {
  const descriptor = openSync(folder, 'r')
  try {
    fsyncSync(descriptor)
  } finally {
    closeSync(descriptor)
  }
}

const replaceFile = (folder: string, name: string, content: Buffer): void => {
  const temporary = join(folder, `${name}.tmp`)
  const descriptor = openSync(temporary, 'w')
  try {
    writeSync(descriptor, content)
    fsyncSync(descriptor)
  } finally {
    closeSync(descriptor)
  }
  renameSync(temporary, join(folder, name))
  syncFolder(folder)
}

const describe = (error: unknown): string => error instanceof Error ? error.message : String(error)

/** Whether a data folder already holds a replica. */
export const hasReplica = (folder: string): boolean => existsSync(join(folder, REPLICA_FILE))

/** Writes the initial records of a replica; fails with `already-founded` when the folder holds one. */
export const createReplica = (folder: string, image: DiskImage): Outcome<null, DiskError> => {
  if (hasReplica(folder)) return fail({ kind: 'already-founded' })
  try {
    mkdirSync(folder, { recursive: true })
    const records: DiskRecord[] = [{ kind: 'vote', term: image.term, votedFor: image.votedFor }]
    if (image.entries.length > 0) records.push({ kind: 'entries', entries: image.entries })
    replaceFile(folder, LOG_FILE, Buffer.concat(records.map(encodeRecord)))
    replaceFile(folder, REPLICA_FILE, Buffer.from(image.replica))
    return ok(null)
  } catch (error) {
    return fail({ kind: 'folder-unusable', reason: describe(error) })
  }
}

/** An open log file. */
export class DiskStore {
  #descriptor: number
  #position: number
  #vote: DiskRecord
  readonly #folder: string

  private constructor (folder: string, descriptor: number, position: number, vote: DiskRecord) {
    this.#folder = folder
    this.#descriptor = descriptor
    this.#position = position
    this.#vote = vote
  }

  /** Opens the folder of a replica, truncates a torn last frame and returns the state that the valid records hold. */
  static open (folder: string): Outcome<{ store: DiskStore, image: DiskImage }, DiskError> {
    try {
      const replica = toId<ReplicaId>(readFileSync(join(folder, REPLICA_FILE), 'utf8'))
      const path = join(folder, LOG_FILE)
      const decoded = decodeLog(readFileSync(path))
      if (decoded.tag === 'error') return decoded
      const descriptor = openSync(path, 'r+')
      ftruncateSync(descriptor, decoded.value.validBytes)
      fsyncSync(descriptor)
      const image = buildImage(replica, decoded.value.records)
      const vote: DiskRecord = { kind: 'vote', term: image.term, votedFor: image.votedFor }
      return ok({ store: new DiskStore(folder, descriptor, decoded.value.validBytes, vote), image })
    } catch (error) {
      return fail({ kind: 'folder-unusable', reason: describe(error) })
    }
  }

  /** Writes and syncs records. Rejects when a write or sync fails; the process must then exit. */
  async write (records: readonly DiskRecord[]): Promise<void> {
    let pending: DiskRecord[] = []
    for (const record of records) {
      if (record.kind !== 'snapshot') {
        pending.push(record)
        continue
      }
      await this.#append(pending)
      pending = []
      this.#replace(record)
    }
    await this.#append(pending)
  }

  async #append (records: readonly DiskRecord[]): Promise<void> {
    // Syncs each frame before the next one is written, so that only the last frame can be torn.
    for (const record of mergeEntries(records)) {
      if (record.kind === 'vote') this.#vote = record
      const frame = encodeRecord(record)
      await writeAsync(this.#descriptor, frame, 0, frame.length, this.#position)
      await fsyncAsync(this.#descriptor)
      this.#position += frame.length
    }
  }

  #replace (record: Extract<DiskRecord, { kind: 'snapshot' }>): void {
    // The new file must also contain the current term and vote.
    const content = Buffer.concat([this.#vote, record].map(encodeRecord))
    replaceFile(this.#folder, LOG_FILE, content)
    closeSync(this.#descriptor)
    this.#descriptor = openSync(join(this.#folder, LOG_FILE), 'r+')
    this.#position = content.length
  }

  close (): void { closeSync(this.#descriptor) }
}

// Merges consecutive entry records, so that entries that wait together need one frame and one sync.
const mergeEntries = (records: readonly DiskRecord[]): DiskRecord[] => {
  const merged: DiskRecord[] = []
  for (const record of records) {
    const last = merged.at(-1)
    const next = last?.kind === 'entries' && record.kind === 'entries' ? record.entries[0] : undefined
    if (last?.kind === 'entries' && record.kind === 'entries' && next?.index === (last.entries.at(-1)?.index ?? 0) + 1) {
      merged[merged.length - 1] = { kind: 'entries', entries: [...last.entries, ...record.entries] }
    } else {
      merged.push(record)
    }
  }
  return merged
}

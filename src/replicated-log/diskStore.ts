/**
 * The log on disk: one append-only file that is replaced atomically when a snapshot is written. It does I/O, so it is used by
 * the runtime and never by a system.
 */

import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import { toId } from '../core/id.js'
import { buildImage, decodeLog, encodeRecord } from './diskFormat.js'
import type { DiskError } from './diskFormat.js'
import { NodeFolder } from './storageFolder.js'
import type { StorageFile, StorageFolder } from './storageFolder.js'
import type { DiskImage, DiskRecord, ReplicaId } from './types.js'

const LOG_FILE = 'log'
const REPLICA_FILE = 'replica'
const TEMPORARY_SUFFIX = '.tmp'

type SnapshotRecord = Extract<DiskRecord, { kind: 'snapshot' }>
type VoteRecord = Extract<DiskRecord, { kind: 'vote' }>

/** The disk refused a write, as when it is full. The records before it are durable; nothing of it or of later ones is kept. */
export interface WriteRefusal {
  readonly kind: 'write-refused'
  /** Number of records that are durable. */
  readonly written: number
  readonly reason: string
}

const describe = (error: unknown): string => error instanceof Error ? error.message : String(error)

const refused = (written: number, error: unknown): Outcome<never, WriteRefusal> => fail({ kind: 'write-refused', written, reason: describe(error) })

// The kernel may write a part of the bytes and report success, as on a disk that is nearly full. Returns how many were written
// if the rest is refused, else null.
const writeFully = async (file: StorageFile, bytes: Uint8Array, position: number): Promise<{ readonly done: number, readonly error: unknown } | null> => {
  let done = 0
  while (done < bytes.length) {
    try {
      const count = await file.write(bytes.subarray(done), position + done)
      if (count === 0) return { done, error: 'the disk takes no more bytes' }
      done += count
    } catch (error) {
      return { done, error }
    }
  }
  return null
}

const removeIfPossible = (folder: StorageFolder, name: string): void => {
  try {
    folder.remove(name)
  } catch {
    // The next start removes it.
  }
}

/** Replaces a file as a whole and returns the new one; what stood before stays when the disk refuses. Rejects when a sync fails. */
const replaceFile = async (folder: StorageFolder, name: string, content: Buffer): Promise<Outcome<StorageFile, WriteRefusal>> => {
  const temporary = `${name}${TEMPORARY_SUFFIX}`
  let file: StorageFile
  try {
    file = folder.open(temporary, 'create')
  } catch (error) {
    return refused(0, error)
  }
  const rest = await writeFully(file, content, 0)
  if (rest !== null) {
    file.close()
    removeIfPossible(folder, temporary)
    return refused(0, rest.error)
  }
  await file.sync()
  try {
    folder.rename(temporary, name)
  } catch (error) {
    file.close()
    removeIfPossible(folder, temporary)
    return refused(0, error)
  }
  folder.sync()
  return ok(file)
}

const readIfPresent = (folder: StorageFolder, name: string): Buffer => folder.exists(name) ? folder.read(name) : Buffer.alloc(0)

// After a loss of power, a file may hold zeros in place of what was written.
const readReplicaId = (folder: StorageFolder): ReplicaId | null => {
  const text = readIfPresent(folder, REPLICA_FILE).toString('utf8')
  return text === '' || text.includes('\0') ? null : toId<ReplicaId>(text)
}

/** Whether a data folder already holds a replica. */
export const hasReplica = (path: string): boolean => new NodeFolder(path).exists(REPLICA_FILE)

/** Writes the initial records of a replica; fails with `already-founded` when the folder holds one. */
export const createReplica = async (path: string, image: DiskImage): Promise<Outcome<null, DiskError>> => await createReplicaIn(new NodeFolder(path), image)

/** The same in any folder. */
export const createReplicaIn = async (folder: StorageFolder, image: DiskImage): Promise<Outcome<null, DiskError>> => {
  if (folder.exists(REPLICA_FILE)) return fail({ kind: 'already-founded' })
  const records: DiskRecord[] = [{ kind: 'vote', term: image.term, votedFor: image.votedFor }]
  if (image.entries.length > 0) records.push({ kind: 'entries', entries: image.entries })
  const files = [[LOG_FILE, Buffer.concat(records.map(encodeRecord))], [REPLICA_FILE, Buffer.from(image.replica)]] as const
  try {
    for (const [name, content] of files) {
      const replaced = await replaceFile(folder, name, content)
      if (replaced.tag === 'error') return fail({ kind: 'folder-unusable', reason: replaced.error.reason })
      replaced.value.close()
    }
    return ok(null)
  } catch (error) {
    return fail({ kind: 'folder-unusable', reason: describe(error) })
  }
}

/** An open log file. */
export class DiskStore {
  #file: StorageFile
  #position: number
  #vote: VoteRecord
  /** Whether a part of a refused frame may stand behind the last whole one. */
  #hasTornTail = false
  readonly #folder: StorageFolder
  readonly #onSnapshotSkipped: (reason: string) => void

  private constructor (folder: StorageFolder, file: StorageFile, position: number, vote: VoteRecord, onSnapshotSkipped: (reason: string) => void) {
    this.#folder = folder
    this.#file = file
    this.#position = position
    this.#vote = vote
    this.#onSnapshotSkipped = onSnapshotSkipped
  }

  /** Opens the folder of a replica, truncates a torn last frame and returns the state that the valid records hold. */
  static async open (path: string, onSnapshotSkipped: (reason: string) => void = () => {}): Promise<Outcome<{ store: DiskStore, image: DiskImage }, DiskError>> {
    return await DiskStore.openIn(new NodeFolder(path), onSnapshotSkipped)
  }

  /** The same in any folder. */
  static async openIn (folder: StorageFolder, onSnapshotSkipped: (reason: string) => void = () => {}): Promise<Outcome<{ store: DiskStore, image: DiskImage }, DiskError>> {
    try {
      const replica = readReplicaId(folder)
      if (replica === null) return fail({ kind: 'replica-incomplete', file: REPLICA_FILE })
      for (const name of folder.list()) {
        if (name.endsWith(TEMPORARY_SUFFIX)) removeIfPossible(folder, name)
      }
      const content = readIfPresent(folder, LOG_FILE)
      const decoded = decodeLog(content)
      if (decoded.tag === 'error') return decoded
      const { records, validBytes } = decoded.value
      // A log is synced with its first record before it gets its name. Without one, votes are forgotten.
      if (records.length === 0) return fail({ kind: 'replica-incomplete', file: LOG_FILE })
      const file = folder.open(LOG_FILE, 'update')
      if (validBytes < content.length) await file.truncate(validBytes)
      // Frames and names that were written but not synced before a crash count from now on.
      await file.sync()
      folder.sync()
      const image = buildImage(replica, records)
      const vote: VoteRecord = { kind: 'vote', term: image.term, votedFor: image.votedFor }
      return ok({ store: new DiskStore(folder, file, validBytes, vote, onSnapshotSkipped), image })
    } catch (error) {
      return fail({ kind: 'folder-unusable', reason: describe(error) })
    }
  }

  /** Size of the log file, in bytes. */
  get bytes (): number { return this.#position }

  /**
   * Writes and syncs records. A refused write leaves the disk as it was before that record, which can be tried again. Rejects
   * when a sync fails, since the state of the disk is unknown then; the process must exit.
   */
  async write (records: readonly DiskRecord[]): Promise<Outcome<null, WriteRefusal>> {
    const snapshotAt = records.findLastIndex(record => record.kind === 'snapshot')
    const snapshot = records[snapshotAt]
    if (snapshot?.kind !== 'snapshot') return await this.#appendAll(records, 0)
    // A snapshot record holds the whole log, so the entries before it needn't be written: there may be no room for them.
    const before = records.slice(0, snapshotAt)
    const replaced = await this.#replace(snapshot, before.findLast(record => record.kind === 'vote') ?? this.#vote)
    if (replaced.tag === 'error') {
      if (snapshot.isCompaction !== true) return replaced
      this.#onSnapshotSkipped(replaced.error.reason)
      const appended = await this.#appendAll(before, 0)
      if (appended.tag === 'error') return appended
    }
    return await this.#appendAll(records.slice(snapshotAt + 1), snapshotAt + 1)
  }

  async #appendAll (records: readonly DiskRecord[], writtenBefore: number): Promise<Outcome<null, WriteRefusal>> {
    let written = writtenBefore
    // Syncs each frame before the next one is written, so that only the last frame can be torn.
    for (const { record, count } of mergeEntries(records)) {
      const refusal = await this.#append(record)
      if (refusal !== null) return refused(written, refusal)
      written += count
    }
    return ok(null)
  }

  // Returns why the disk refused the record; null when it is durable.
  async #append (record: DiskRecord): Promise<unknown> {
    const frame = encodeRecord(record)
    if (this.#hasTornTail) {
      try {
        await this.#file.truncate(this.#position)
      } catch (error) {
        return error
      }
      await this.#file.sync()
      this.#hasTornTail = false
    }
    const rest = await writeFully(this.#file, frame, this.#position)
    if (rest !== null) {
      this.#hasTornTail = rest.done > 0
      return rest.error
    }
    await this.#file.sync()
    this.#position += frame.length
    if (record.kind === 'vote') this.#vote = record
    return null
  }

  // The new file must also contain the current term and vote.
  async #replace ({ kind, snapshot, kept }: SnapshotRecord, vote: VoteRecord): Promise<Outcome<null, WriteRefusal>> {
    const content = Buffer.concat([vote, { kind, snapshot, kept }].map(encodeRecord))
    const replaced = await replaceFile(this.#folder, LOG_FILE, content)
    if (replaced.tag === 'error') return replaced
    this.#file.close()
    this.#file = replaced.value
    this.#position = content.length
    this.#vote = vote
    this.#hasTornTail = false
    return ok(null)
  }

  close (): void { this.#file.close() }
}

// Merges consecutive entry records, so that entries that wait together need one frame and one sync.
const mergeEntries = (records: readonly DiskRecord[]): Array<{ record: DiskRecord, count: number }> => {
  const merged: Array<{ record: DiskRecord, count: number }> = []
  for (const record of records) {
    const last = merged.at(-1)
    const next = record.kind === 'entries' ? record.entries[0] : undefined
    if (last?.record.kind === 'entries' && record.kind === 'entries' && next?.index === (last.record.entries.at(-1)?.index ?? 0) + 1) {
      last.record = { kind: 'entries', entries: [...last.record.entries, ...record.entries] }
      last.count += 1
    } else {
      merged.push({ record, count: 1 })
    }
  }
  return merged
}

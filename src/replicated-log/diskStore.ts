/**
 * The log on disk: one append-only file that is replaced atomically when a snapshot is written. It does I/O, so it is used by
 * the runtime and never by a system.
 */

import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import { buildImage, decodeLog, encodeRecord } from './diskFormat.js'
import type { DiskError } from './diskFormat.js'
import { LOG_FILE, REPLICA_FILE, TEMPORARY_SUFFIX, describeFailure, readIfPresent, readReplicaId, refused, removeIfPossible, replaceFile, writeFully } from './replicaFiles.js'
import type { WriteRefusal } from './replicaFiles.js'
import { NodeFolder } from './storageFolder.js'
import type { StorageFile, StorageFolder } from './storageFolder.js'
import type { DiskImage, DiskRecord } from './types.js'

type SnapshotRecord = Extract<DiskRecord, { kind: 'snapshot' }>
type VoteRecord = Extract<DiskRecord, { kind: 'vote' }>

/** An open log file. */
export class DiskStore {
  #file: StorageFile
  #position: number
  #vote: VoteRecord
  /** Whether a part of a torn or refused frame may stand behind the last whole one. */
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

  /**
   * Opens the folder of a replica and returns the state that the valid records hold. Cuts off a torn last frame, now or before the
   * next write.
   */
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
      const image = buildImage(replica, records)
      const vote: VoteRecord = { kind: 'vote', term: image.term, votedFor: image.votedFor }
      const store = new DiskStore(folder, file, validBytes, vote, onSnapshotSkipped)
      store.#hasTornTail = validBytes < content.length
      await store.#cutTornTail()
      // Frames and names that were written but not synced before a crash count from now on.
      await file.sync()
      folder.sync()
      return ok({ store, image })
    } catch (error) {
      return fail({ kind: 'folder-unusable', reason: describeFailure(error) })
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

  // Returns why the disk refused it; null when nothing stands behind the last whole frame any more.
  async #cutTornTail (): Promise<unknown> {
    if (!this.#hasTornTail) return null
    try {
      await this.#file.truncate(this.#position)
    } catch (error) {
      return error
    }
    await this.#file.sync()
    this.#hasTornTail = false
    return null
  }

  // Returns why the disk refused the record; null when it is durable.
  async #append (record: DiskRecord): Promise<unknown> {
    const frame = encodeRecord(record)
    const refusal = await this.#cutTornTail()
    if (refusal !== null) return refusal
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

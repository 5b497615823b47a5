/** The files of a replica, and how they are written as a whole. */

import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import { toId } from '../core/id.js'
import type { StorageFile, StorageFolder } from './storageFolder.js'
import type { ReplicaId } from './types.js'

/** The file of the log. */
export const LOG_FILE = 'log'
/** The file with the id of the replica. */
export const REPLICA_FILE = 'replica'
/** Where a log that can't be used is kept for a person to look at; the next one replaces it. */
export const UNUSABLE_LOG_FILE = 'log.unusable'
/** The end of the names of files that are being written. */
export const TEMPORARY_SUFFIX = '.tmp'

/** The disk refused a write, as when it is full. The records before it are durable; nothing of it or of later ones is kept. */
export interface WriteRefusal {
  readonly kind: 'write-refused'
  /** Number of records that are durable. */
  readonly written: number
  readonly reason: string
}

/** Why an operation on a file failed. */
export const describeFailure = (error: unknown): string => error instanceof Error ? error.message : String(error)

/** A write of which this many records are durable. */
export const refused = (written: number, error: unknown): Outcome<never, WriteRefusal> => fail({ kind: 'write-refused', written, reason: describeFailure(error) })

/**
 * Writes all bytes, although the kernel may write a part of them and report success, as on a disk that is nearly full. Returns how
 * many were written if the rest is refused, else null.
 */
export const writeFully = async (file: StorageFile, bytes: Uint8Array, position: number): Promise<{ readonly done: number, readonly error: unknown } | null> => {
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

/** Removes a file, or leaves it to the next start. */
export const removeIfPossible = (folder: StorageFolder, name: string): void => {
  try {
    folder.remove(name)
  } catch {
    // The next start removes it.
  }
}

/** Replaces a file as a whole and returns the new one; what stood before stays when the disk refuses. Rejects when a sync fails. */
export const replaceFile = async (folder: StorageFolder, name: string, content: Buffer): Promise<Outcome<StorageFile, WriteRefusal>> => {
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

/** Content of a file; no bytes if it is missing. */
export const readIfPresent = (folder: StorageFolder, name: string): Buffer => folder.exists(name) ? folder.read(name) : Buffer.alloc(0)

/** Returns the replica whose folder this is; null if the file with its name is missing or holds nothing, or zeros. */
export const readReplicaId = (folder: StorageFolder): ReplicaId | null => {
  const text = readIfPresent(folder, REPLICA_FILE).toString('utf8')
  return text === '' || text.includes('\0') ? null : toId<ReplicaId>(text)
}

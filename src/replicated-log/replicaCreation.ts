/** Creates the replica of a data folder. */

import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import { encodeRecord } from './diskFormat.js'
import type { DiskError } from './diskFormat.js'
import { LOG_FILE, REPLICA_FILE, describeFailure, replaceFile } from './replicaFiles.js'
import { NodeFolder } from './storageFolder.js'
import type { StorageFolder } from './storageFolder.js'
import type { DiskImage, DiskRecord } from './types.js'

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
    return fail({ kind: 'folder-unusable', reason: describeFailure(error) })
  }
}

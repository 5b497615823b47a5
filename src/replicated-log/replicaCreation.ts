/** Creates the replica of a data folder, or a new one in place of one that the disk has lost. */

import { randomUUID } from 'node:crypto'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import { toId } from '../core/id.js'
import type { HostId } from '../core/id.js'
import { buildImage, decodeLog, encodeRecord } from './diskFormat.js'
import type { DiskError } from './diskFormat.js'
import { DiskStore } from './diskStore.js'
import { LOG_FILE, REPLICA_FILE, UNUSABLE_LOG_FILE, describeFailure, replaceFile } from './replicaFiles.js'
import { NodeFolder } from './storageFolder.js'
import type { StorageFolder } from './storageFolder.js'
import { foundingImage, foundingReplicaId, latestGroup } from './replicaTables.js'
import type { DiskImage, DiskRecord, Group, ReplicaId } from './types.js'

/** What a host does with its data folder when it starts. */
export interface ReplicaOrigin {
  readonly host: HostId
  /** The initial group, if this host may create it in an empty data folder; null if it must join an existing group. */
  readonly founders: Group | null
  /** Called when the replica in the folder can't be used, so that this host joins as a new one. */
  readonly onLost: (error: DiskError) => void
  readonly onSnapshotSkipped: (reason: string) => void
}

/** An open replica: its log, and the state that it holds. */
export interface OpenReplica { readonly store: DiskStore, readonly image: DiskImage }

// Must be admitted to the group first: it must not vote in place of a replica whose disk was lost.
const joiningImage = (host: HostId): DiskImage => ({ replica: toId<ReplicaId>(`${host}#${randomUUID()}`), term: 0, votedFor: null, snapshot: null, entries: [] })

/** Returns the state of a log that no replica has been started from; null if there is none. */
const readUnusedLog = (folder: StorageFolder): Omit<DiskImage, 'replica'> | null => {
  if (folder.exists(REPLICA_FILE) || !folder.exists(LOG_FILE)) return null
  const content = folder.read(LOG_FILE)
  const decoded = decodeLog(content)
  if (decoded.tag === 'error' || decoded.value.records.length === 0 || decoded.value.validBytes < content.length) return null
  const image = buildImage(toId<ReplicaId>(''), decoded.value.records)
  const isUnused = image.term === 0 && image.votedFor === null && image.snapshot === null && image.entries.every(entry => entry.term === 0)
  return isUnused ? image : null
}

// The name is written last, so a log without it is of a creation that was cut off, unless it holds more than that writes.
const hasReplica = (folder: StorageFolder): boolean =>
  folder.exists(REPLICA_FILE) || (folder.exists(LOG_FILE) && readUnusedLog(folder) === null)

const writeAndClose = async (folder: StorageFolder, name: string, content: Buffer): Promise<Outcome<null, DiskError>> => {
  const replaced = await replaceFile(folder, name, content)
  if (replaced.tag === 'error') return fail({ kind: 'folder-unusable', reason: replaced.error.reason })
  replaced.value.close()
  return ok(null)
}

const encodeImage = ({ term, votedFor, entries }: DiskImage): Buffer => {
  const records: DiskRecord[] = [{ kind: 'vote', term, votedFor }]
  if (entries.length > 0) records.push({ kind: 'entries', entries })
  return Buffer.concat(records.map(encodeRecord))
}

/** Writes the initial records of a replica; fails with `already-founded` when the folder holds one. */
export const createReplica = async (path: string, image: DiskImage): Promise<Outcome<null, DiskError>> => await createReplicaIn(new NodeFolder(path), image)

/** The same in any folder. */
export const createReplicaIn = async (folder: StorageFolder, image: DiskImage): Promise<Outcome<null, DiskError>> => {
  try {
    if (hasReplica(folder)) return fail({ kind: 'already-founded' })
    const written = await writeAndClose(folder, LOG_FILE, encodeImage(image))
    return written.tag === 'error' ? written : await writeAndClose(folder, REPLICA_FILE, Buffer.from(image.replica))
  } catch (error) {
    return fail({ kind: 'folder-unusable', reason: describeFailure(error) })
  }
}

// The new name comes first: whatever log stands beside it, the replica of that name has no vote. So a crash at any step leaves
// nothing that could vote in place of the lost replica, nor a folder that looks as if none had been there.
const replaceReplica = async (folder: StorageFolder, image: DiskImage): Promise<Outcome<null, DiskError>> => {
  try {
    const named = await writeAndClose(folder, REPLICA_FILE, Buffer.from(image.replica))
    if (named.tag === 'error') return named
    if (folder.exists(LOG_FILE)) folder.rename(LOG_FILE, UNUSABLE_LOG_FILE)
    folder.sync()
    return await writeAndClose(folder, LOG_FILE, encodeImage(image))
  } catch (error) {
    return fail({ kind: 'folder-unusable', reason: describeFailure(error) })
  }
}

// A creation that was cut off is completed as it began, whether or not this host may still found the group.
const initialImage = (folder: StorageFolder, { host, founders }: ReplicaOrigin): DiskImage => {
  const begun = readUnusedLog(folder)
  const group = begun === null || begun.entries.length === 0 ? founders : latestGroup(begun, begun.entries)
  return group === null ? joiningImage(host) : foundingImage(foundingReplicaId(host), group)
}

// A folder that can't be read now, or a log of a newer build, may well be usable later.
const isLoss = ({ kind }: DiskError): boolean => kind === 'log-corrupt' || kind === 'replica-incomplete'

/** Opens the replica of a data folder. Creates one in an empty folder; joins as a new one if the replica can't be used. */
export const openReplica = async (path: string, origin: ReplicaOrigin): Promise<Outcome<OpenReplica, DiskError>> => await openReplicaIn(new NodeFolder(path), origin)

/** The same in any folder. */
export const openReplicaIn = async (folder: StorageFolder, origin: ReplicaOrigin): Promise<Outcome<OpenReplica, DiskError>> => {
  try {
    const created = hasReplica(folder) ? ok(null) : await createReplicaIn(folder, initialImage(folder, origin))
    if (created.tag === 'error') return created
    const opened = await DiskStore.openIn(folder, origin.onSnapshotSkipped)
    if (opened.tag === 'ok' || !isLoss(opened.error)) return opened
    origin.onLost(opened.error)
    const replaced = await replaceReplica(folder, joiningImage(origin.host))
    return replaced.tag === 'error' ? replaced : await DiskStore.openIn(folder, origin.onSnapshotSkipped)
  } catch (error) {
    return fail({ kind: 'folder-unusable', reason: describeFailure(error) })
  }
}

/** Format of the log file: frames of length, CRC-32 and encoded record. The checksum detects torn writes and damage. */

import { crc32 } from 'node:zlib'
import { Packr } from 'msgpackr'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import type { DiskImage, DiskRecord, Entry, LogSnapshot, ReplicaId } from './types.js'

const packr = new Packr({ useRecords: false })
const HEADER_BYTES = 8
/** Bytes that a disk writes as a whole. */
const SECTOR_BYTES = 512
/** How the first key of every record is encoded, and where in its body that stands: behind the header of a map. */
const BODY_MARK = Buffer.from('\xa4kind', 'latin1')
const BODY_MARK_OFFSET = 3
/** How often a search for a whole frame may check as many bytes as the file has. */
const MAX_CHECKED_FILES = 4

/** Why a log file cannot be used. */
export type DiskError =
  | { readonly kind: 'log-corrupt', readonly offset: number }
  | { readonly kind: 'record-unknown', readonly offset: number }
  | { readonly kind: 'replica-incomplete', readonly file: string }
  | { readonly kind: 'folder-unusable', readonly reason: string }
  | { readonly kind: 'already-founded' }

/** Records of a log file, and the number of bytes up to the end of the last valid frame. */
export interface DecodedLog { readonly records: readonly DiskRecord[], readonly validBytes: number }

/** Encodes a record as one frame. */
export const encodeRecord = (record: DiskRecord): Buffer => {
  const body = packr.pack(record)
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length)
  frame.writeUInt32LE(body.length, 0)
  frame.writeUInt32LE(crc32(body), 4)
  body.copy(frame, HEADER_BYTES)
  return frame
}

const isRecord = (value: unknown): value is DiskRecord =>
  typeof value === 'object' && value !== null && 'kind' in value && (value.kind === 'vote' || value.kind === 'entries' || value.kind === 'snapshot')

const unpackRecord = (body: Buffer): DiskRecord | null => {
  try {
    const value: unknown = packr.unpack(body)
    return isRecord(value) ? value : null
  } catch {
    return null
  }
}

/** Returns the body of the whole frame at an offset; null if there is none. */
const bodyAt = (file: Buffer, offset: number): Buffer | null => {
  if (offset + HEADER_BYTES > file.length) return null
  const start = offset + HEADER_BYTES
  const end = start + file.readUInt32LE(offset)
  if (end === start || end > file.length) return null
  const body = file.subarray(start, end)
  return crc32(body) === file.readUInt32LE(offset + 4) ? body : null
}

// Contents that only look like frames must not hold up a start. A search that exceeds this finds that there is a frame.
const isFrameBehind = (file: Buffer, offset: number): boolean => {
  let checkedBytes = 0
  for (let at = file.indexOf(BODY_MARK, offset); at !== -1; at = file.indexOf(BODY_MARK, at + 1)) {
    const frameAt = at - BODY_MARK_OFFSET - HEADER_BYTES
    if (frameAt <= offset) continue
    if (bodyAt(file, frameAt) !== null) return true
    const claimedBytes = file.readUInt32LE(frameAt)
    if (frameAt + HEADER_BYTES + claimedBytes <= file.length) checkedBytes += claimedBytes
    if (checkedBytes > MAX_CHECKED_FILES * file.length) return true
  }
  return false
}

// A header inside one sector is written as a whole or not at all, and no byte is ever written behind an unsynced frame.
const hasBytesBehind = (file: Buffer, offset: number): boolean => {
  if (offset % SECTOR_BYTES > SECTOR_BYTES - HEADER_BYTES) return false
  const length = file.readUInt32LE(offset)
  return length > 0 && file.subarray(offset + HEADER_BYTES + length).some(byte => byte !== 0)
}

/**
 * Decodes all frames up to the first one that isn't whole. Each frame is synced before the next one is written, so that one is a
 * torn write and ignored, unless something was written behind it: then it is damaged, and decoding fails with
 * `log-corrupt`. A whole frame that this build can't read is `record-unknown`.
 */
export const decodeLog = (file: Buffer): Outcome<DecodedLog, DiskError> => {
  const records: DiskRecord[] = []
  let offset = 0
  while (offset + HEADER_BYTES <= file.length) {
    const body = bodyAt(file, offset)
    if (body === null) {
      if (hasBytesBehind(file, offset) || isFrameBehind(file, offset)) return fail({ kind: 'log-corrupt', offset })
      break
    }
    const record = unpackRecord(body)
    if (record === null) return fail({ kind: 'record-unknown', offset })
    records.push(record)
    offset += HEADER_BYTES + body.length
  }
  return ok({ records, validBytes: offset })
}

/** Replays the records of a log file into the state of the replica. */
export const buildImage = (replica: ReplicaId, records: readonly DiskRecord[]): DiskImage => {
  let term = 0
  let votedFor: ReplicaId | null = null
  let snapshot: LogSnapshot | null = null
  let entries: Entry[] = []
  for (const record of records) {
    if (record.kind === 'vote') {
      term = record.term
      votedFor = record.votedFor
    } else if (record.kind === 'entries') {
      const first = record.entries[0]?.index ?? 0
      entries = [...entries.filter(entry => entry.index < first), ...record.entries]
    } else {
      snapshot = record.snapshot
      const base = record.snapshot.index
      entries = record.kept.filter(entry => entry.index > base)
    }
  }
  return { replica, term, votedFor, snapshot, entries }
}

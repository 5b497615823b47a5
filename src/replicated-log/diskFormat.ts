/** Format of the log file: frames of length, CRC-32 and encoded record. The checksum detects a torn write at the end of the file. */

import { crc32 } from 'node:zlib'
import { Packr } from 'msgpackr'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import type { DiskImage, DiskRecord, Entry, LogSnapshot, ReplicaId } from './types.js'

const packr = new Packr({ useRecords: false })
const HEADER_BYTES = 8

/** Why a log file cannot be used. */
export type DiskError =
  | { readonly kind: 'log-corrupt', readonly offset: number }
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

const unpackRecord = (body: Buffer): DiskRecord | null => {
  try {
    return packr.unpack(body) as DiskRecord
  } catch {
    return null
  }
}

// After a power loss, a file may end with zeros where its last frame was to be written.
const isZeroed = (bytes: Buffer): boolean => bytes.every(byte => byte === 0)

/** Decodes all frames. Ignores an incomplete, torn or zeroed last frame; fails with `log-corrupt` when an earlier frame is damaged. */
export const decodeLog = (file: Buffer): Outcome<DecodedLog, DiskError> => {
  const records: DiskRecord[] = []
  let offset = 0
  while (offset + HEADER_BYTES <= file.length) {
    const length = file.readUInt32LE(offset)
    const end = offset + HEADER_BYTES + length
    if (length === 0) {
      if (isZeroed(file.subarray(offset))) break
      return fail({ kind: 'log-corrupt', offset })
    }
    if (end > file.length) break
    const body = file.subarray(offset + HEADER_BYTES, end)
    if (crc32(body) !== file.readUInt32LE(offset + 4)) {
      // Each frame is synced before the next one is written, so only the last one can be torn.
      if (end < file.length) return fail({ kind: 'log-corrupt', offset })
      break
    }
    const record = unpackRecord(body)
    if (record === null) return fail({ kind: 'log-corrupt', offset })
    records.push(record)
    offset = end
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

/** Records the inbox and outbox of every tick to a trace file, for replay. */

import { closeSync, openSync, writeSync } from 'node:fs'
import { Packr } from 'msgpackr'
import type { Recorder } from '../core/runner.js'

const packr = new Packr({ useRecords: false })
const LENGTH_PREFIX_BYTES = 4

/** One recorded tick. */
export interface RecordedTick { readonly now: number, readonly inbox: readonly unknown[], readonly outbox: readonly unknown[] }

/** A recorder that writes to a trace file. */
export interface FileRecorder<In, Out> extends Recorder<In, Out> {
  close (): void
}

/** Encodes a value as a MessagePack frame with a length prefix. */
export const encodeTraceFrame = (value: unknown): Buffer => {
  const body = packr.pack(value)
  const frame = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES + body.length)
  frame.writeUInt32LE(body.length, 0)
  body.copy(frame, LENGTH_PREFIX_BYTES)
  return frame
}

/** Decodes all values of a trace. Ignores an incomplete last frame, as a crash leaves it. */
export const decodeTrace = (file: Buffer): unknown[] => {
  const values: unknown[] = []
  let offset = 0
  while (offset + LENGTH_PREFIX_BYTES <= file.length) {
    const end = offset + LENGTH_PREFIX_BYTES + file.readUInt32LE(offset)
    if (end > file.length) break
    values.push(packr.unpack(file.subarray(offset + LENGTH_PREFIX_BYTES, end)))
    offset = end
  }
  return values
}

/** Opens a trace file and writes the start values of the world as its first frame. */
export const openRecorder = <In, Out>(path: string, start: unknown): FileRecorder<In, Out> => {
  const descriptor = openSync(path, 'w')
  writeSync(descriptor, encodeTraceFrame(start))
  return {
    record: (now, inbox, outbox) => {
      // Empty ticks are recorded too, because any tick may draw random numbers.
      writeSync(descriptor, encodeTraceFrame({ now, inbox, outbox }))
    },
    close: () => { closeSync(descriptor) }
  }
}

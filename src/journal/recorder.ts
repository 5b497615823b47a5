/** Records what a world was fed and what it gave, so that the same systems can be run on it again. */

import { closeSync, openSync, writeSync } from 'node:fs'
import { Packr } from 'msgpackr'
import type { Recorder } from '../core/runner.js'

const packr = new Packr({ useRecords: false })
const LENGTH_BYTES = 4

/** One recorded tick. */
export interface RecordedTick { readonly now: number, readonly inbox: readonly unknown[], readonly outbox: readonly unknown[] }

/** A recorder that writes to a file. */
export interface FileRecorder<In, Out> extends Recorder<In, Out> {
  close (): void
}

/** One value as a frame with its length. */
export const encodeTraceFrame = (value: unknown): Buffer => {
  const body = packr.pack(value)
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length)
  frame.writeUInt32LE(body.length, 0)
  body.copy(frame, LENGTH_BYTES)
  return frame
}

/** All values of a trace; a torn last frame is left out. */
export const decodeTrace = (file: Buffer): unknown[] => {
  const values: unknown[] = []
  let offset = 0
  while (offset + LENGTH_BYTES <= file.length) {
    const end = offset + LENGTH_BYTES + file.readUInt32LE(offset)
    if (end > file.length) break
    values.push(packr.unpack(file.subarray(offset + LENGTH_BYTES, end)))
    offset = end
  }
  return values
}

/** Opens a trace; its first frame says what the world started from. */
export const openRecorder = <In, Out>(path: string, start: unknown): FileRecorder<In, Out> => {
  const descriptor = openSync(path, 'w')
  writeSync(descriptor, encodeTraceFrame(start))
  return {
    record: (now, inbox, outbox) => {
      // Ticks are all recorded, empty ones too: each may draw random numbers.
      writeSync(descriptor, encodeTraceFrame({ now, inbox, outbox }))
    },
    close: () => { closeSync(descriptor) }
  }
}

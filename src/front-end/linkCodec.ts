/** Codec of the frames on a link: MessagePack, validated against the message schema. Large messages are compressed. */

import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { Packr } from 'msgpackr'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import type { ControlMessage } from '../control/types.js'
import type { EntryMessage } from '../entry/types.js'
import { isWholeFrame } from './frameCheck.js'
import { messageSchema } from './messageSchema.js'

/** Any message on a link. */
export type LinkMessage = EntryMessage | ControlMessage

/** Why a frame cannot be decoded. */
export interface FrameError { readonly kind: 'frame-malformed', readonly reason: string }

const packr = new Packr({ useRecords: false })

/** Encodes a plain value. */
export const encodeFrame = (value: unknown): Buffer => packr.pack(value)

/** Decodes a plain value. Invalid bytes return an error and never throw. */
export const decodeFrame = (bytes: Buffer): Outcome<unknown, FrameError> => {
  if (!isWholeFrame(bytes)) return fail({ kind: 'frame-malformed', reason: 'not one whole value' })
  try {
    return ok(packr.unpack(bytes) as unknown)
  } catch (error) {
    return fail({ kind: 'frame-malformed', reason: error instanceof Error ? error.message : 'undecodable' })
  }
}

/** First byte of a compressed message. MessagePack never uses it. */
const COMPRESSED_MARK = 0xc1
/** Messages of at least this size are compressed. */
const MIN_COMPRESSED_BYTES = 512
/** Largest message after decompression. */
export const MAX_MESSAGE_BYTES = 16 * 1024 * 1024
/** Compression level; a higher one takes several times longer and saves few bytes. */
const COMPRESSION_LEVEL = 3

/** Encodes a message, compressed if it is large. */
export const encodeMessage = (message: LinkMessage): Buffer => {
  const bytes = encodeFrame(message)
  if (bytes.length < MIN_COMPRESSED_BYTES) return bytes
  const compressed = deflateRawSync(bytes, { level: COMPRESSION_LEVEL })
  return compressed.length + 1 < bytes.length ? Buffer.concat([Buffer.of(COMPRESSED_MARK), compressed]) : bytes
}

const decompress = (bytes: Buffer): Outcome<Buffer, FrameError> => {
  if (bytes[0] !== COMPRESSED_MARK) return ok(bytes)
  try {
    return ok(inflateRawSync(bytes.subarray(1), { maxOutputLength: MAX_MESSAGE_BYTES }))
  } catch (error) {
    return fail({ kind: 'frame-malformed', reason: error instanceof Error ? error.message : 'cannot be decompressed' })
  }
}

/** Decodes a message of an authenticated host and validates it. */
export const decodeMessage = (bytes: Buffer): Outcome<LinkMessage, FrameError> => {
  const plain = decompress(bytes)
  if (plain.tag === 'error') return plain
  const frame = decodeFrame(plain.value)
  if (frame.tag === 'error') return frame
  const parsed = messageSchema.safeParse(frame.value)
  if (!parsed.success) {
    const issue = parsed.error.issues[0]
    return fail({ kind: 'frame-malformed', reason: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}` })
  }
  // The schema has plain strings where the types have branded ids; the shapes are otherwise equal.
  return ok(parsed.data as unknown as LinkMessage)
}

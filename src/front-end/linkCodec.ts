/** Codec of the frames on a link: MessagePack, validated against the message schema. */

import { Packr } from 'msgpackr'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import type { ControlMessage } from '../control/types.js'
import type { EntryMessage } from '../entry/types.js'
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
  try {
    return ok(packr.unpack(bytes) as unknown)
  } catch (error) {
    return fail({ kind: 'frame-malformed', reason: error instanceof Error ? error.message : 'undecodable' })
  }
}

/** Decodes a message and validates it. */
export const decodeMessage = (bytes: Buffer): Outcome<LinkMessage, FrameError> => {
  const frame = decodeFrame(bytes)
  if (frame.tag === 'error') return frame
  const parsed = messageSchema.safeParse(frame.value)
  if (!parsed.success) {
    const issue = parsed.error.issues[0]
    return fail({ kind: 'frame-malformed', reason: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}` })
  }
  // The schema has plain strings where the types have branded ids; the shapes are otherwise equal.
  return ok(parsed.data as unknown as LinkMessage)
}

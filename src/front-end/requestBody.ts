/** Bodies of callers' requests: small ones are buffered so that a retry can send them again, large ones are streamed. */

import { createHash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'

/** A request body that is ready to be sent in an attempt. */
export interface RequestBody {
  /** The whole body; null when it is streamed. */
  readonly buffered: Buffer | null
  readonly length: number | null
  /** SHA-256 of a buffered body. A streamed body has the digest of its declared length, as its bytes are not known. */
  readonly digest: string
  readonly replayable: boolean
}

/** Why a body cannot be used: over the limit, no room in memory, or the caller closed the connection. */
export type BodyError = { readonly kind: 'too-large' } | { readonly kind: 'no-room' } | { readonly kind: 'caller-left' }

/** Size limits in bytes: of any body, and of a body that is buffered. */
export interface BodyLimits { readonly bodyBytes: number, readonly bufferedBodyBytes: number }

const digestOf = (bytes: Buffer | string): string => createHash('sha256').update(bytes).digest('base64url')

/** The body of a request without one. */
export const EMPTY_BODY: RequestBody = { buffered: Buffer.alloc(0), length: 0, digest: digestOf(''), replayable: true }

/** How a body may be buffered. */
export interface Buffering {
  /** Whether the digest of the bytes is needed, which a streamed body does not have. */
  readonly isRequired: boolean
  /** Takes room in memory; false if there is none. */
  takeRoom (bytes: number): boolean
}

const declaredLength = (request: IncomingMessage): number | null => {
  const text = request.headers['content-length']
  return text === undefined ? null : Number(text)
}

const readBuffered = async (request: IncomingMessage): Promise<Buffer | null> => {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer)
  } catch {
    return null
  }
  return request.complete ? Buffer.concat(chunks) : null
}

/** Reads a small body into memory, and leaves one that is large, of unknown length or without room to be streamed. */
export const readBody = async (request: IncomingMessage, limits: BodyLimits, buffering: Buffering): Promise<RequestBody | BodyError> => {
  const length = declaredLength(request)
  if (length === null && request.headers['transfer-encoding'] === undefined) return EMPTY_BODY
  if (length === 0) return EMPTY_BODY
  if (length !== null && length > limits.bodyBytes) return { kind: 'too-large' }
  if (length !== null && length <= limits.bufferedBodyBytes) {
    if (buffering.takeRoom(length)) {
      const buffer = await readBuffered(request)
      return buffer === null ? { kind: 'caller-left' } : { buffered: buffer, length, digest: digestOf(buffer), replayable: true }
    }
    if (buffering.isRequired) return { kind: 'no-room' }
  }
  return { buffered: null, length, digest: digestOf(`flow ${length ?? 'chunked'}`), replayable: false }
}

/** Streams a body and throws once it exceeds `limit` bytes. */
export async function * limitBody (request: IncomingMessage, limit: number): AsyncGenerator<Buffer> {
  let total = 0
  for await (const chunk of request) {
    const bytes = chunk as Buffer
    total += bytes.length
    if (total > limit) throw new Error('request body exceeds the size limit')
    yield bytes
  }
}

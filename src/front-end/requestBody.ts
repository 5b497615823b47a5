/** Bodies of callers' requests: small ones are kept so that they can be sent again, large ones flow through. */

import { createHash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'

/** A body as an attempt sends it. */
export interface RequestBody {
  /** The whole body, or null when it flows. */
  readonly buffered: Buffer | null
  readonly length: number | null
  readonly digest: string
  readonly replayable: boolean
}

/** Why a body is not taken. */
export type BodyError = { readonly kind: 'too-large' } | { readonly kind: 'caller-left' }

/** Limits of bodies, in bytes. */
export interface BodyLimits { readonly bodyBytes: number, readonly bufferedBodyBytes: number }

const digestOf = (bytes: Buffer | string): string => createHash('sha256').update(bytes).digest('base64url')

const EMPTY: RequestBody = { buffered: Buffer.alloc(0), length: 0, digest: digestOf(''), replayable: true }

const declaredLength = (request: IncomingMessage): number | null => {
  const text = request.headers['content-length']
  return text === undefined ? null : Number(text)
}

const readWhole = async (request: IncomingMessage): Promise<Buffer | null> => {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer)
  } catch {
    return null
  }
  return request.complete ? Buffer.concat(chunks) : null
}

/** Takes a body in, or leaves a large one to flow. */
export const readBody = async (request: IncomingMessage, limits: BodyLimits): Promise<RequestBody | BodyError> => {
  const length = declaredLength(request)
  if (length === null && request.headers['transfer-encoding'] === undefined) return EMPTY
  if (length === 0) return EMPTY
  if (length !== null && length > limits.bodyBytes) return { kind: 'too-large' }
  if (length !== null && length <= limits.bufferedBodyBytes) {
    const whole = await readWhole(request)
    return whole === null ? { kind: 'caller-left' } : { buffered: whole, length, digest: digestOf(whole), replayable: true }
  }
  return { buffered: null, length, digest: digestOf(`flow ${length ?? 'chunked'}`), replayable: false }
}

/** A flowing body that stops with an error past the limit. */
export async function * limitBody (request: IncomingMessage, limit: number): AsyncGenerator<Buffer> {
  let total = 0
  for await (const chunk of request) {
    const bytes = chunk as Buffer
    total += bytes.length
    if (total > limit) throw new Error('request body over its limit')
    yield bytes
  }
}

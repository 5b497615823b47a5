/** Copies a small response while it is sent to the caller, so that it can be replayed to a resend of the request. */

import type { RecordedAnswer } from '../idempotency/types.js'

/** Largest body that is recorded. */
export const MAX_RECORDED_BODY_BYTES = 16 * 1024

/** Records one response. */
export class ResponseRecorder {
  #chunks: Buffer[] = []
  #bytes = 0

  constructor (readonly isEnabled: boolean) {}

  /** Records a part of the body. */
  append (body: Buffer): void {
    this.#bytes += body.length
    if (this.isEnabled && this.#bytes <= MAX_RECORDED_BODY_BYTES) this.#chunks.push(body)
  }

  /** Passes a stream through and records it. */
  async * tap (source: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
    for await (const chunk of source) {
      this.#bytes += chunk.length
      if (this.isEnabled && this.#bytes <= MAX_RECORDED_BODY_BYTES) this.#chunks.push(chunk)
      yield chunk
    }
  }

  /** The recorded response; undefined when recording is disabled or the body is too large. */
  finish (status: number, headers: Record<string, string | string[]>): RecordedAnswer | undefined {
    if (!this.isEnabled || this.#bytes > MAX_RECORDED_BODY_BYTES) return undefined
    const { connection, ...recordedHeaders } = headers
    return { status, headers: recordedHeaders, body: Buffer.concat(this.#chunks) }
  }
}

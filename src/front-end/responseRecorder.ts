/** Keeps a copy of a small answer while it flows to the caller. */

import type { RecordedAnswer } from '../idempotency/types.js'

/** Largest body that is kept for resends, in bytes. */
export const MAX_RECORDED_BODY_BYTES = 16 * 1024

/** Copies what flows through until it grows too large. */
export class ResponseRecorder {
  #chunks: Buffer[] = []
  #bytes = 0

  constructor (readonly isEnabled: boolean) {}

  /** Copies a whole body. */
  append (body: Buffer): void {
    this.#bytes += body.length
    if (this.isEnabled && this.#bytes <= MAX_RECORDED_BODY_BYTES) this.#chunks.push(body)
  }

  async * tap (source: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
    for await (const chunk of source) {
      this.#bytes += chunk.length
      if (this.isEnabled && this.#bytes <= MAX_RECORDED_BODY_BYTES) this.#chunks.push(chunk)
      yield chunk
    }
  }

  /** The kept answer; undefined when it was not wanted or too large. */
  finish (status: number, headers: Record<string, string | string[]>): RecordedAnswer | undefined {
    if (!this.isEnabled || this.#bytes > MAX_RECORDED_BODY_BYTES) return undefined
    const { connection, ...kept } = headers
    return { status, headers: kept, body: Buffer.concat(this.#chunks) }
  }
}

/** Keeps a copy of a small answer while it flows to the caller. */

import type { RecordedAnswer } from '../idempotency/types.js'

/** Largest body that is kept for resends, in bytes. */
export const KEPT_BODY_BYTES = 16 * 1024

/** Copies what flows through until it grows too large. */
export class AnswerKeeper {
  #chunks: Buffer[] = []
  #bytes = 0

  constructor (readonly isWanted: boolean) {}

  /** Copies a whole body. */
  take (body: Buffer): void {
    this.#bytes += body.length
    if (this.isWanted && this.#bytes <= KEPT_BODY_BYTES) this.#chunks.push(body)
  }

  async * tap (source: AsyncIterable<Buffer>): AsyncGenerator<Buffer> {
    for await (const chunk of source) {
      this.#bytes += chunk.length
      if (this.isWanted && this.#bytes <= KEPT_BODY_BYTES) this.#chunks.push(chunk)
      yield chunk
    }
  }

  /** The kept answer; undefined when it was not wanted or too large. */
  finish (status: number, headers: Record<string, string | string[]>): RecordedAnswer | undefined {
    if (!this.isWanted || this.#bytes > KEPT_BODY_BYTES) return undefined
    const { connection, ...kept } = headers
    return { status, headers: kept, body: Buffer.concat(this.#chunks) }
  }
}

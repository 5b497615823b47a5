/** Bounds the memory that the buffered bodies of callers' requests take, from the first byte to the end of each request. */

/** Bodies up to this size take no room. */
const SMALL_BODY_BYTES = 4 * 1024

/** The requests whose bodies are buffered. */
export class BufferedBodies<Holder> {
  readonly #sizes = new Map<Holder, number>()
  #totalBytes = 0

  constructor (readonly maxBytes: number) {}

  /** Takes room for the body of a request. Returns false if there is none. */
  take (holder: Holder, bytes: number): boolean {
    if (bytes <= SMALL_BODY_BYTES) return true
    if (this.#totalBytes + bytes > this.maxBytes) return false
    this.release(holder)
    this.#sizes.set(holder, bytes)
    this.#totalBytes += bytes
    return true
  }

  /** Gives the room of a request back. */
  release (holder: Holder): void {
    this.#totalBytes -= this.#sizes.get(holder) ?? 0
    this.#sizes.delete(holder)
  }
}

/** Decides which bodies of requests a listener gives up, so that those that peers never finish do not fill its memory. */

import type { Millis } from '../core/tick.js'

/** Bodies up to this size are always received. */
export const SMALL_BODY_BYTES = 4 * 1024
/** A body makes progress whenever it has received this much. */
export const PROGRESS_BYTES = 64 * 1024
/** From this time without progress on, a body gives way to others. */
export const STALLED_MS: Millis = 2_000

interface Progress { bytes: number, unnoted: number, at: Millis }

/** The larger bodies of a listener that are not received whole. */
export class UnfinishedBodies<Body> {
  /** In the order of their starts. */
  readonly #bodies = new Map<Body, Progress>()
  #totalBytes = 0

  constructor (readonly maxBytes: number) {}

  get totalBytes (): number { return this.#totalBytes }

  /** Records the size of a body so far. Returns the bodies to give up for room, which may include this one: stalled ones, then the newest. */
  grow (body: Body, bytes: number, now: Millis): Body[] {
    if (bytes <= SMALL_BODY_BYTES) return []
    this.#record(body, bytes, now)
    const givenUp: Body[] = []
    while (this.#totalBytes > this.maxBytes) {
      const closing = this.#findStalled(now) ?? this.#findNewest() ?? body
      this.remove(closing)
      givenUp.push(closing)
    }
    return givenUp
  }

  /** Removes a body that is whole or given up. */
  remove (body: Body): void {
    this.#totalBytes -= this.#bodies.get(body)?.bytes ?? 0
    this.#bodies.delete(body)
  }

  #record (body: Body, bytes: number, now: Millis): void {
    const progress = this.#bodies.get(body) ?? { bytes: 0, unnoted: 0, at: now }
    const added = bytes - progress.bytes
    this.#totalBytes += added
    progress.bytes = bytes
    progress.unnoted += added
    if (progress.unnoted >= PROGRESS_BYTES) {
      progress.unnoted = 0
      progress.at = now
    }
    this.#bodies.set(body, progress)
  }

  #findStalled (now: Millis): Body | undefined {
    for (const [body, { at }] of this.#bodies) {
      if (now - at >= STALLED_MS) return body
    }
    return undefined
  }

  #findNewest (): Body | undefined { return [...this.#bodies.keys()].at(-1) }
}

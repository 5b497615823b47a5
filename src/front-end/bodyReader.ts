/** Reads the bodies of requests on one listener into memory, within bounds on their size, time and sum. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Millis } from '../core/tick.js'
import { sendJson } from './jsonBody.js'
import { PROGRESS_BYTES, UnfinishedBodies } from './unfinishedBodies.js'

/** Bytes of unfinished bodies on one listener: the largest body, and others beside it. */
const MAX_UNFINISHED_BYTES = 48 * 1024 * 1024
/** A body without progress for this long is given up. */
const MAX_STALLED_MS: Millis = 10_000
/** Time for a whole body; one of 32 MiB takes 134 s at 2 Mbit/s. */
const MAX_BODY_MS: Millis = 300_000
const RETRY_AFTER_S = 10

/** Why a body was not read. */
type BodyError = 'body-cut' | 'body-too-large' | 'body-too-slow' | 'no-room'

const STATUSES: Readonly<Partial<Record<BodyError, number>>> = { 'body-too-large': 413, 'body-too-slow': 408, 'no-room': 503 }

/** A body that is being received. */
class IncomingBody {
  /** Resolves when the body is whole, or with the reason why it is not. */
  readonly ended: Promise<BodyError | null>
  #chunks: Buffer[] = []
  #size = 0
  #sizeAtProgress = 0
  #resolve: (error: BodyError | null) => void = () => {}
  readonly #stallTimer = setTimeout(() => { this.giveUp('body-too-slow') }, MAX_STALLED_MS)
  readonly #timer = setTimeout(() => { this.giveUp('body-too-slow') }, MAX_BODY_MS)

  constructor (readonly request: IncomingMessage, readonly maxBytes: number, readonly onGrowth: (body: IncomingBody, size: number) => void) {
    this.ended = new Promise(resolve => { this.#resolve = resolve })
    request.on('data', this.#receive)
    request.once('end', () => { this.#end(null) })
    request.once('close', () => { this.#end(request.complete ? null : 'body-cut') })
  }

  /** Frees what was received and discards what follows. */
  giveUp (error: BodyError): void {
    this.#chunks = []
    this.#end(error)
  }

  toText (): string { return Buffer.concat(this.#chunks).toString('utf8') }

  #end (error: BodyError | null): void {
    this.request.off('data', this.#receive)
    clearTimeout(this.#stallTimer)
    clearTimeout(this.#timer)
    this.#resolve(error)
  }

  readonly #receive = (chunk: Buffer): void => {
    this.#chunks.push(chunk)
    this.#size += chunk.length
    if (this.#size > this.maxBytes) {
      this.giveUp('body-too-large')
      return
    }
    if (this.#size - this.#sizeAtProgress >= PROGRESS_BYTES) {
      this.#sizeAtProgress = this.#size
      this.#stallTimer.refresh()
    }
    this.onGrowth(this, this.#size)
  }
}

/** Reads the bodies of requests on one listener. */
export class BodyReader {
  readonly #unfinished = new UnfinishedBodies<IncomingBody>(MAX_UNFINISHED_BYTES)

  /** Reads a body as text. Returns null when it is longer than `maxBytes`, too slow, cut or finds no room; the request is answered then. */
  async readText (request: IncomingMessage, response: ServerResponse, maxBytes: number): Promise<string | null> {
    if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
      this.#refuse(response, 'body-too-large')
      return null
    }
    const body = new IncomingBody(request, maxBytes, (body, size) => { this.#makeRoom(body, size) })
    const error = await body.ended
    this.#unfinished.remove(body)
    if (error === null) return body.toText()
    this.#refuse(response, error)
    return null
  }

  #makeRoom (body: IncomingBody, size: number): void {
    for (const givenUp of this.#unfinished.grow(body, size, performance.now())) givenUp.giveUp('no-room')
  }

  #refuse (response: ServerResponse, error: BodyError): void {
    const status = STATUSES[error]
    if (status === undefined) {
      response.destroy()
      return
    }
    if (error === 'no-room') response.setHeader('retry-after', RETRY_AFTER_S)
    sendJson(response, status, { error }, true)
  }
}

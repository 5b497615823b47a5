/** Sends one attempt to a backend server and says truthfully how far it got. */

import { Readable } from 'node:stream'
import type { IncomingHttpHeaders } from 'node:http'
import { Agent, buildConnector } from 'undici'
import type { Dispatcher } from 'undici'
import type { AttemptResult } from '../exchange/types.js'

const CONNECT_TIMEOUT_MS = 500
/** A reused connection must have proved itself within this time for a request that is safe to lose. */
const KEEP_ALIVE_MS = 4_000
/** For one that is not, the proof must be fresher. */
const KEEP_ALIVE_UNSAFE_MS = 200

/** An answer whose body is silent for this long is cut. */
const BODY_SILENCE_MS = 15_000

/** Answers up to this size are taken in whole before the caller sees any of it, so that one that breaks off can be tried again. */
const WHOLE_ANSWER_BYTES = 256 * 1024

class AttemptEnd extends Error {
  constructor (readonly code: 'ATTEMPT_TIMEOUT' | 'ABORTED' | 'ANSWER_RESET') { super(code) }
}

const NOT_SENT: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'])

/** One attempt as it goes over the wire. */
export interface AttemptRequest {
  readonly origin: string
  readonly path: string
  readonly method: string
  readonly headers: Record<string, string | string[]>
  readonly body: Buffer | Readable | null
  readonly isIdempotent: boolean
  readonly timeoutMs: number
}

/** An answer: a small one in whole, a large one as it flows. */
export interface BackendResponse {
  readonly statusCode: number
  readonly headers: IncomingHttpHeaders
  /** Whether only the end of its connection says that it is complete, so that nobody can tell a whole answer from a cut one. */
  readonly isCloseDelimited: boolean
  readonly body: Buffer | Readable
}

/** An attempt under way. */
export interface RunningAttempt {
  /** Rejects when there is no answer. */
  readonly response: Promise<BackendResponse>
  /** Gives up on it; its connection is closed. */
  abort (): void
}

const codeOf = (error: unknown): string => {
  const code = (error as { code?: unknown }).code
  return typeof code === 'string' ? code : 'unknown'
}

/** Names a failure: only a connection that never came up proves that nothing was sent. */
export const classifyFailure = (error: unknown): Extract<AttemptResult, { kind: 'not-sent' | 'lost' }> => {
  const code = codeOf(error)
  return NOT_SENT.has(code) ? { kind: 'not-sent', reason: code } : { kind: 'lost', reason: code }
}

/** Throws an answer away; what has not arrived yet closes its connection. */
export const discardResponse = (answer: BackendResponse): void => {
  if (answer.body instanceof Readable) answer.body.destroy()
}

const FIRST_FINAL_STATUS = 200
const NO_CONTENT = 204
const NOT_MODIFIED = 304

/** Whether an answer of this status can have a body. */
export const mayHaveBody = (status: number): boolean => status !== NO_CONTENT && status !== NOT_MODIFIED

const readHeaders = (raw: readonly Buffer[]): IncomingHttpHeaders => {
  const headers: Record<string, string | string[]> = {}
  for (let position = 0; position + 1 < raw.length; position += 2) {
    const name = String(raw[position]).toLowerCase()
    const value = raw[position + 1]?.toString('latin1') ?? ''
    const known = headers[name]
    if (known === undefined) headers[name] = value
    else headers[name] = Array.isArray(known) ? [...known, value] : [known, value]
  }
  return headers
}

/** For this long after a reset, an answer without a length from the same server is not believed to be complete. */
const RESET_MEMORY_MS = 1_000

/** Remembers which servers have reset a connection: the client library takes an answer without a length for complete then. */
class ResetWatch {
  readonly #resets = new Map<string, number>()
  readonly #connector = buildConnector({ timeout: CONNECT_TIMEOUT_MS })

  readonly connect: buildConnector.connector = (options, callback) => {
    const origin = `http://${options.hostname}:${options.port}`
    this.#connector(options, (...result) => {
      const socket = result[1]
      // Ours run before the library's own listeners, which may end the answer within the same event.
      socket?.on('error', () => { this.#note(origin) })
      socket?.on('close', () => { if (!socket.readableEnded) this.#note(origin) })
      callback(...result)
    })
  }

  /** Whether a connection to a server was reset lately. */
  wasReset (origin: string): boolean {
    const at = this.#resets.get(origin)
    return at !== undefined && performance.now() - at < RESET_MEMORY_MS
  }

  #note (origin: string): void {
    this.#resets.delete(origin)
    this.#resets.set(origin, performance.now())
    for (const [oldest, at] of this.#resets) {
      if (performance.now() - at < RESET_MEMORY_MS) break
      this.#resets.delete(oldest)
    }
  }
}

const hasLength = (headers: IncomingHttpHeaders): boolean =>
  headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined

/** Takes one answer in, whole if it is small. */
class AnswerReader implements Dispatcher.DispatchHandlers {
  readonly answer: Promise<BackendResponse>
  #settle: { resolve (answer: BackendResponse): void, reject (error: Error): void } = { resolve: () => {}, reject: () => {} }
  #abort: ((error?: Error) => void) | null = null
  #ending: Error | null = null
  #statusCode = 0
  #headers: IncomingHttpHeaders = {}
  #chunks: Buffer[] = []
  #bytes = 0
  #resume: () => void = () => {}
  #flowing: Readable | null = null
  readonly #timer: NodeJS.Timeout

  constructor (timeoutMs: number, readonly origin: string, readonly watch: ResetWatch) {
    this.answer = new Promise((resolve, reject) => { this.#settle = { resolve, reject } })
    this.#timer = setTimeout(() => { this.end(new AttemptEnd('ATTEMPT_TIMEOUT')) }, timeoutMs)
  }

  end (error: Error): void {
    this.#ending ??= error
    if (this.#abort !== null) this.#abort(this.#ending)
    else this.#fail(this.#ending)
  }

  onConnect (abort: (error?: Error) => void): void {
    this.#abort = abort
    if (this.#ending !== null) abort(this.#ending)
  }

  onHeaders (statusCode: number, raw: Buffer[] | string[] | null, resume: () => void): boolean {
    if (statusCode < FIRST_FINAL_STATUS) return true
    this.#statusCode = statusCode
    this.#headers = readHeaders((raw ?? []) as Buffer[])
    this.#resume = resume
    return true
  }

  onData (chunk: Buffer): boolean {
    if (this.#flowing !== null) return this.#flowing.push(chunk)
    this.#chunks.push(chunk)
    this.#bytes += chunk.length
    return this.#bytes <= WHOLE_ANSWER_BYTES || this.#flow()
  }

  onComplete (): void {
    if (!hasLength(this.#headers) && this.watch.wasReset(this.origin)) {
      this.#fail(new AttemptEnd('ANSWER_RESET'))
      return
    }
    clearTimeout(this.#timer)
    if (this.#flowing !== null) this.#flowing.push(null)
    else this.#settle.resolve(this.#answerWith(Buffer.concat(this.#chunks)))
  }

  onError (error: Error): void { this.#fail(this.#ending ?? error) }

  #fail (error: Error): void {
    clearTimeout(this.#timer)
    if (this.#flowing !== null) this.#flowing.destroy(error)
    else this.#settle.reject(error)
  }

  #answerWith (body: Buffer | Readable): BackendResponse {
    const endsWithConnection = !hasLength(this.#headers) && mayHaveBody(this.#statusCode)
    return { statusCode: this.#statusCode, headers: this.#headers, isCloseDelimited: endsWithConnection, body }
  }

  // From here on the caller's pace decides how fast the server is read.
  #flow (): boolean {
    clearTimeout(this.#timer)
    const body = new Readable({ read: () => { this.#resume() }, destroy: (error, done) => { this.#abort?.(); done(error) } })
    body.on('error', () => {})
    for (const chunk of this.#chunks) body.push(chunk)
    this.#chunks = []
    this.#flowing = body
    this.#settle.resolve(this.#answerWith(body))
    return false
  }
}

/** Connections to backend servers. */
export class AttemptClient {
  readonly #watch = new ResetWatch()
  readonly #safe = new Agent({ pipelining: 1, keepAliveTimeout: KEEP_ALIVE_MS, keepAliveMaxTimeout: KEEP_ALIVE_MS, connect: this.#watch.connect })
  readonly #unsafe = new Agent({ pipelining: 1, keepAliveTimeout: KEEP_ALIVE_UNSAFE_MS, keepAliveMaxTimeout: KEEP_ALIVE_UNSAFE_MS, connect: this.#watch.connect })

  /** Sends a request; an answer that flows must be read to its end or discarded. */
  send (request: AttemptRequest): RunningAttempt {
    const { origin, path, method, headers, body, isIdempotent: isSafeToLose, timeoutMs } = request
    // The client's own timers are too coarse for a deadline.
    const reader = new AnswerReader(timeoutMs, origin, this.#watch)
    const agent = isSafeToLose ? this.#safe : this.#unsafe
    try {
      agent.dispatch({ origin, path, method: method as Dispatcher.HttpMethod, headers, body, headersTimeout: 0, bodyTimeout: BODY_SILENCE_MS }, reader)
    } catch (error) {
      reader.onError(error as Error)
    }
    return { response: reader.answer, abort: () => { reader.end(new AttemptEnd('ABORTED')) } }
  }

  async close (): Promise<void> {
    await Promise.all([this.#safe.destroy(), this.#unsafe.destroy()])
  }
}

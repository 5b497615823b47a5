/** HTTP client towards backend servers. Reports whether a failed attempt may have run. */

import { Readable } from 'node:stream'
import type { IncomingHttpHeaders } from 'node:http'
import { Agent } from 'undici'
import type { Dispatcher } from 'undici'
import type { AttemptResult } from '../exchange/types.js'
import { BackendConnections, UNUSED_CONNECTION_CODE } from './backendConnections.js'

/** Longest idle time after which a connection is reused for an idempotent request. */
const IDEMPOTENT_KEEP_ALIVE_MS = 4_000
/** Shorter for other requests: they cannot be retried if the server closed the idle connection meanwhile. */
const NON_IDEMPOTENT_KEEP_ALIVE_MS = 200

/** Longest time that a timer can have; with a longer one it fires at once. */
const MAX_TIMER_MS = 2 ** 31 - 1

/** Servers that connections are kept to. Servers come back at new ports, so the number is limited. */
const MAX_KEPT_ORIGINS = 8_192

/** A response body that receives no data for this long is aborted. */
const BODY_IDLE_TIMEOUT_MS = 15_000
/** A response body that has not ended this long after it was too large to buffer is aborted, however much data arrives. */
export const MAX_BODY_DURATION_MS = 120_000

/** Time from the decision to send until the write from which on the caller may have left unseen: the process lacks processor time. */
const MAX_SEND_LAG_MS = 100

/** Responses up to this size are buffered before any byte is sent to the caller, so that the request can be retried when one is cut off. */
const MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024

class AttemptError extends Error {
  constructor (readonly code: 'ATTEMPT_TIMEOUT' | 'ABORTED' | 'ANSWER_RESET') { super(code) }
}

const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT', UNUSED_CONNECTION_CODE])

/** The HTTP request of one attempt. */
export interface AttemptRequest {
  readonly origin: string
  readonly path: string
  readonly method: string
  readonly headers: Record<string, string | string[]>
  readonly body: Buffer | Readable | null
  /** Whether the request may run twice; it may then use a connection that has been idle for longer. */
  readonly isIdempotent: boolean
  /** Whether the connection may be kept for another request, to a server of which nothing else is known. */
  readonly mayKeepConnection: boolean
  readonly timeoutMs: number
}

/** A response of a backend server: a buffer if it is small, a stream otherwise. */
export interface BackendResponse {
  readonly statusCode: number
  readonly headers: IncomingHttpHeaders
  /** Whether the body ends with the connection, without content length or chunked framing. A cut body then looks like a complete one. */
  readonly isCloseDelimited: boolean
  readonly body: Buffer | Readable
}

/** An attempt in flight. */
export interface RunningAttempt {
  /** Rejects when there is no response. */
  readonly response: Promise<BackendResponse>
  /** Cancels the attempt and closes its connection. */
  abort (): void
}

const errorCodeOf = (error: unknown): string => {
  const code = (error as { code?: unknown }).code
  return typeof code === 'string' ? code : 'unknown'
}

/** Classifies a failure: `not-sent` only if no connection was established, else `lost`, as the request may have run. */
export const classifyFailure = (error: unknown): Extract<AttemptResult, { kind: 'not-sent' | 'lost' }> => {
  const code = errorCodeOf(error)
  return NOT_SENT_CODES.has(code) ? { kind: 'not-sent', reason: code } : { kind: 'lost', reason: code }
}

/** Discards a response; closes its connection if the response is incomplete. */
export const discardResponse = (response: BackendResponse): void => {
  if (response.body instanceof Readable) response.body.destroy()
}

const FIRST_FINAL_STATUS = 200
const NO_CONTENT = 204
const NOT_MODIFIED = 304

/** Whether a response of this status can have a body. */
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

const isSelfDelimited = (headers: IncomingHttpHeaders): boolean =>
  headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined

/** Reads one response: buffers it, and switches to a stream when it exceeds MAX_BUFFERED_RESPONSE_BYTES. */
class ResponseReader implements Dispatcher.DispatchHandlers {
  readonly response: Promise<BackendResponse>
  #settle: { resolve (response: BackendResponse): void, reject (error: Error): void } = { resolve: () => {}, reject: () => {} }
  readonly #createdAt = performance.now()
  #abort: ((error?: Error) => void) | null = null
  #endError: Error | null = null
  #statusCode = 0
  #headers: IncomingHttpHeaders = {}
  #chunks: Buffer[] = []
  #bytes = 0
  #resume: () => void = () => {}
  #stream: Readable | null = null
  #timer: NodeJS.Timeout

  constructor (timeoutMs: number, readonly origin: string, readonly connections: BackendConnections, readonly maxBodyDurationMs: number) {
    this.response = new Promise((resolve, reject) => { this.#settle = { resolve, reject } })
    this.#timer = setTimeout(() => { this.cancel(new AttemptError('ATTEMPT_TIMEOUT')) }, timeoutMs)
  }

  cancel (error: Error): void {
    this.#endError ??= error
    if (this.#abort !== null) this.#abort(this.#endError)
    else this.#fail(this.#endError)
  }

  onConnect (abort: (error?: Error) => void): void {
    this.#abort = abort
    if (this.#endError !== null) abort(this.#endError)
    else if (performance.now() - this.#createdAt > MAX_SEND_LAG_MS) this.connections.holdNextWrite()
  }

  onHeaders (statusCode: number, raw: Buffer[] | string[] | null, resume: () => void): boolean {
    if (statusCode < FIRST_FINAL_STATUS) return true
    this.#statusCode = statusCode
    this.#headers = readHeaders((raw ?? []) as Buffer[])
    this.#resume = resume
    return true
  }

  onData (chunk: Buffer): boolean {
    this.connections.countBody(chunk.length)
    return this.#take(chunk) || !this.connections.pauseAnswer(this.#resume)
  }

  #take (chunk: Buffer): boolean {
    if (this.#stream !== null) return this.#stream.push(chunk)
    this.#chunks.push(chunk)
    this.#bytes += chunk.length
    return this.#bytes <= MAX_BUFFERED_RESPONSE_BYTES || this.#startStreaming()
  }

  onComplete (): void {
    this.connections.endAnswer()
    if (!isSelfDelimited(this.#headers) && this.connections.wasRecentlyReset(this.origin)) {
      this.#fail(new AttemptError('ANSWER_RESET'))
      return
    }
    clearTimeout(this.#timer)
    if (this.#stream !== null) this.#stream.push(null)
    else this.#settle.resolve(this.#createResponse(Buffer.concat(this.#chunks)))
  }

  onError (error: Error): void { this.#fail(this.#endError ?? error) }

  #fail (error: Error): void {
    clearTimeout(this.#timer)
    if (this.#stream !== null) this.#stream.destroy(error)
    else this.#settle.reject(error)
  }

  #createResponse (body: Buffer | Readable): BackendResponse {
    const isCloseDelimited = !isSelfDelimited(this.#headers) && mayHaveBody(this.#statusCode)
    return { statusCode: this.#statusCode, headers: this.#headers, isCloseDelimited, body }
  }

  // Returns false to pause the connection: from here on, data is read only as fast as the caller takes it.
  #startStreaming (): boolean {
    clearTimeout(this.#timer)
    this.#timer = setTimeout(() => { this.cancel(new AttemptError('ATTEMPT_TIMEOUT')) }, this.maxBodyDurationMs)
    const body = new Readable({ read: () => { this.#resume() }, destroy: (error, done) => { clearTimeout(this.#timer); this.#abort?.(); done(error) } })
    body.on('error', () => {})
    for (const chunk of this.#chunks) body.push(chunk)
    this.#chunks = []
    this.#stream = body
    this.#settle.resolve(this.#createResponse(body))
    return false
  }
}

/** Sends attempts over connection pools, one for idempotent requests and one for the others. */
export class AttemptClient {
  readonly #keptOrigins = new Set<string>()
  readonly #connections: BackendConnections
  readonly #idempotentPool: Agent
  readonly #otherPool: Agent

  /** `onFault` gets the errors that undici throws where nothing else can take them; without it, they are uncaught. */
  constructor (readonly maxBodyDurationMs = MAX_BODY_DURATION_MS, onFault: (error: unknown) => void = error => { throw error }) {
    this.#connections = new BackendConnections(onFault)
    this.#idempotentPool = this.#createPool(IDEMPOTENT_KEEP_ALIVE_MS)
    this.#otherPool = this.#createPool(NON_IDEMPOTENT_KEEP_ALIVE_MS)
  }

  #createPool (keepAliveMs: number): Agent {
    return new Agent({ pipelining: 1, keepAliveTimeout: keepAliveMs, keepAliveMaxTimeout: keepAliveMs, connect: this.#connections.connect })
  }

  /** Keeps connections to a server from now on, because its responses name their requests, so that one sent twice is told apart. */
  keepConnections (origin: string): void {
    if (this.#keptOrigins.has(origin)) return
    this.#keptOrigins.add(origin)
    const [oldest] = this.#keptOrigins
    if (this.#keptOrigins.size > MAX_KEPT_ORIGINS && oldest !== undefined) this.#keptOrigins.delete(oldest)
  }

  /** Sends a request. A streamed response must be read to its end or discarded. */
  send (request: AttemptRequest): RunningAttempt {
    const { origin, path, method, headers, body, isIdempotent, mayKeepConnection, timeoutMs } = request
    // ResponseReader enforces the timeout: undici's timers are too coarse for a deadline.
    const reader = new ResponseReader(Math.min(timeoutMs, MAX_TIMER_MS), origin, this.#connections, this.maxBodyDurationMs)
    const pool = isIdempotent ? this.#idempotentPool : this.#otherPool
    try {
      const reset = !mayKeepConnection && !this.#keptOrigins.has(origin)
      pool.dispatch({ origin, path, method: method as Dispatcher.HttpMethod, headers, body, reset, headersTimeout: 0, bodyTimeout: BODY_IDLE_TIMEOUT_MS }, reader)
    } catch (error) {
      reader.onError(error as Error)
    }
    return { response: reader.response, abort: () => { reader.cancel(new AttemptError('ABORTED')) } }
  }

  async close (): Promise<void> {
    await Promise.all([this.#idempotentPool.destroy(), this.#otherPool.destroy()])
  }
}

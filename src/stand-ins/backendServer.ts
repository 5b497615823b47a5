/** A fake backend server that announces itself, runs requests in a fixed number of slots, sheds load, drains and counts its runs. */

import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Agent } from 'undici'
import { ANNOUNCEMENT_INTERVAL_MS } from '../announcement/announcementSystem.js'
import { ATTEMPT_HEADER, LEAVING_HEADER } from '../front-end/serviceProtocol.js'

/** Configuration of a fake backend server, read from JSON. */
export interface BackendServerOptions {
  readonly service: string
  readonly backend: string
  readonly region: string
  readonly zone: string
  readonly address: string
  readonly port: number
  readonly slots: number
  /** Announcement addresses of the entry hosts, as HOST:PORT. */
  readonly announceTo: readonly string[]
  readonly token: string
  /** Processing time of a request, in milliseconds. */
  readonly workMs: number
}

/** Counters of a fake backend server, served as JSON at `/stand-in/statistics`. */
export interface BackendStatistics {
  ran: number
  shed: number
  /** Requests that carried a caller's key; entry hosts must remove it. */
  keysSeen: number
  /** Number of runs by Idempotency-Key. */
  readonly runsByKey: Record<string, number>
  /** Requests whose connection closed before the answer was sent. */
  cancelled: number
  /** Wall-clock time at which the last request started, in milliseconds. */
  lastStartedAt: number
}

const CREDENTIAL_HEADERS = ['authorization', 'x-api-key']

const hashBody = async (request: IncomingMessage): Promise<{ bytes: number, digest: string }> => {
  const hash = createHash('sha256')
  let bytes = 0
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length
    hash.update(chunk as Buffer)
  }
  return { bytes, digest: hash.digest('hex') }
}

/** Runs a fake backend server. */
export class BackendServer {
  readonly statistics: BackendStatistics = { ran: 0, shed: 0, keysSeen: 0, runsByKey: {}, cancelled: 0, lastStartedAt: 0 }
  readonly #server: Server
  /** Sends announcements from the server's own address, because entry hosts take the source address as the server's. */
  readonly #announcementClient: Agent
  readonly #epoch = Date.now()
  #sequence = 0
  #runningCount = 0
  #state: 'up' | 'draining' = 'up'
  #announcementTimer: NodeJS.Timeout | undefined
  #port = 0

  constructor (readonly options: BackendServerOptions) {
    this.#announcementClient = new Agent({ localAddress: options.address })
    this.#server = createServer((request, response) => { this.#route(request, response) })
  }

  get port (): number { return this.#port }

  async start (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.options.port, this.options.address, resolve)
    })
    const bound = this.#server.address()
    if (typeof bound === 'object' && bound !== null) this.#port = bound.port
    await this.#announce()
    this.#announcementTimer = setInterval(() => { void this.#announce() }, ANNOUNCEMENT_INTERVAL_MS)
  }

  /** Announces the drain, finishes the running requests and stops. */
  async drain (): Promise<void> {
    this.#state = 'draining'
    await this.#announce()
    const closed = new Promise<void>(resolve => { this.#server.close(() => { resolve() }) })
    setTimeout(() => { this.#server.closeIdleConnections() }, 2_500).unref()
    await closed
    clearInterval(this.#announcementTimer)
    await this.#announcementClient.destroy()
  }

  /** Closes all connections at once, like a crash. */
  kill (): void {
    clearInterval(this.#announcementTimer)
    this.#server.close()
    this.#server.closeAllConnections()
    void this.#announcementClient.destroy()
  }

  async #announce (): Promise<void> {
    this.#sequence += 1
    const { service, backend, region, zone, slots, token, announceTo } = this.options
    const body = JSON.stringify({ service, backend, region, zone, port: this.#port, slots, epoch: this.#epoch, sequence: this.#sequence, state: this.#state })
    await Promise.all(announceTo.map(async entryHost => {
      try {
        const answer = await this.#announcementClient.request({ origin: `http://${entryHost}`, path: '/v1/announcements', method: 'POST', headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' }, body, headersTimeout: 1_000 })
        await answer.body.dump()
      } catch {
        // A failed announcement is not retried; the next one is sent after the announcement interval.
      }
    }))
  }

  #route (request: IncomingMessage, response: ServerResponse): void {
    const attempt = request.headers[ATTEMPT_HEADER]
    if (attempt !== undefined) response.setHeader(ATTEMPT_HEADER, attempt)
    if (this.#state === 'draining') response.setHeader(LEAVING_HEADER, '1')
    if (request.url === '/stand-in/statistics') {
      response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(this.statistics))
      return
    }
    if (this.#runningCount >= this.options.slots) {
      this.statistics.shed += 1
      response.writeHead(503, { 'retry-after': '0' }).end()
      return
    }
    void this.#handleRequest(request, response)
  }

  async #handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#runningCount += 1
    this.statistics.ran += 1
    this.statistics.lastStartedAt = Date.now()
    if (CREDENTIAL_HEADERS.some(name => request.headers[name] !== undefined)) this.statistics.keysSeen += 1
    const idempotencyKey = request.headers['idempotency-key']
    if (typeof idempotencyKey === 'string') {
      this.statistics.runsByKey[idempotencyKey] = (this.statistics.runsByKey[idempotencyKey] ?? 0) + 1
    }
    try {
      const { bytes, digest } = await hashBody(request)
      await new Promise(resolve => setTimeout(resolve, this.options.workMs))
      if (response.destroyed) this.statistics.cancelled += 1
      response.writeHead(200, { 'content-type': 'application/json' })
      response.end(JSON.stringify({
        service: this.options.service,
        backend: this.options.backend,
        workspace: request.headers['rhubarbseam-workspace'] ?? null,
        path: request.url,
        bytes,
        digest
      }))
    } catch {
      this.statistics.cancelled += 1
    } finally {
      this.#runningCount -= 1
    }
  }
}

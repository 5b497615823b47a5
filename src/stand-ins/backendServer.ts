/** A stand-in for a backend server: announces itself, has slots, sheds, drains, and counts what it ran. */

import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Agent } from 'undici'
import { ANNOUNCEMENT_INTERVAL_MS } from '../announcement/announcementSystem.js'

/** How a stand-in behaves. */
export interface BackendServerOptions {
  readonly service: string
  readonly backend: string
  readonly region: string
  readonly zone: string
  readonly address: string
  readonly port: number
  readonly slots: number
  /** Addresses of entry hosts that it announces itself to, as HOST:PORT. */
  readonly announceTo: readonly string[]
  readonly token: string
  /** Time that a request takes, in milliseconds. */
  readonly workMs: number
}

/** What a stand-in has seen. */
export interface BackendStatistics {
  ran: number
  shed: number
  /** Requests that came with a caller's key. */
  keysSeen: number
  /** Runs by Idempotency-Key. */
  readonly runsByKey: Record<string, number>
  /** Requests whose caller or entry host went away before the answer. */
  cancelled: number
  /** Wall-clock time of the last new work, in milliseconds. */
  lastStartedAt: number
}

const KEY_HEADERS = ['authorization', 'x-api-key']

const readDigest = async (request: IncomingMessage): Promise<{ bytes: number, digest: string }> => {
  const hash = createHash('sha256')
  let bytes = 0
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length
    hash.update(chunk as Buffer)
  }
  return { bytes, digest: hash.digest('hex') }
}

/** A running stand-in. */
export class BackendServer {
  readonly statistics: BackendStatistics = { ran: 0, shed: 0, keysSeen: 0, runsByKey: {}, cancelled: 0, lastStartedAt: 0 }
  readonly #server: Server
  /** Announcements leave from the address that the server serves on: entry hosts go by it. */
  readonly #agent: Agent
  readonly #epoch = Date.now()
  #sequence = 0
  #running = 0
  #state: 'up' | 'draining' = 'up'
  #timer: NodeJS.Timeout | undefined
  #port = 0

  constructor (readonly options: BackendServerOptions) {
    this.#agent = new Agent({ localAddress: options.address })
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
    this.#timer = setInterval(() => { void this.#announce() }, ANNOUNCEMENT_INTERVAL_MS)
  }

  /** Takes no new work, finishes what runs, and stops. */
  async drain (): Promise<void> {
    this.#state = 'draining'
    await this.#announce()
    const closed = new Promise<void>(resolve => { this.#server.close(() => { resolve() }) })
    setTimeout(() => { this.#server.closeIdleConnections() }, 2_500).unref()
    await closed
    clearInterval(this.#timer)
    await this.#agent.destroy()
  }

  /** Stops at once, as a crash would. */
  kill (): void {
    clearInterval(this.#timer)
    this.#server.close()
    this.#server.closeAllConnections()
    void this.#agent.destroy()
  }

  async #announce (): Promise<void> {
    this.#sequence += 1
    const { service, backend, region, zone, slots, token, announceTo } = this.options
    const body = JSON.stringify({ service, backend, region, zone, port: this.#port, slots, epoch: this.#epoch, sequence: this.#sequence, state: this.#state })
    await Promise.all(announceTo.map(async target => {
      try {
        const answer = await this.#agent.request({ origin: `http://${target}`, path: '/v1/announcements', method: 'POST', headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' }, body, headersTimeout: 1_000 })
        await answer.body.dump()
      } catch {
        // The next announcement tries again.
      }
    }))
  }

  #route (request: IncomingMessage, response: ServerResponse): void {
    if (request.url === '/stand-in/statistics') {
      response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(this.statistics))
      return
    }
    if (this.#running >= this.options.slots) {
      this.statistics.shed += 1
      response.writeHead(503, { 'retry-after': '1' }).end()
      return
    }
    void this.#work(request, response)
  }

  async #work (request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#running += 1
    this.statistics.ran += 1
    this.statistics.lastStartedAt = Date.now()
    if (KEY_HEADERS.some(name => request.headers[name] !== undefined)) this.statistics.keysSeen += 1
    const idempotencyKey = request.headers['idempotency-key']
    if (typeof idempotencyKey === 'string') {
      this.statistics.runsByKey[idempotencyKey] = (this.statistics.runsByKey[idempotencyKey] ?? 0) + 1
    }
    try {
      const { bytes, digest } = await readDigest(request)
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
      this.#running -= 1
    }
  }
}

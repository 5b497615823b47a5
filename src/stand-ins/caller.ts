/** A fake caller that looks up entry hosts, sends requests and records each outcome. */

import { createHash, randomUUID } from 'node:crypto'
import { Agent } from 'undici'

/** Outcome of one request as seen by its caller. */
export interface CallerOutcome {
  readonly workspace: string
  readonly service: string
  readonly kind: 'served' | 'refused' | 'cut' | 'wrong-answer'
  readonly reason: string
  readonly ran: string
  readonly latencyMs: number
  readonly sentAt: number
  readonly idempotencyKey: string | null
}

/** A request to send. */
export interface CallerRequest {
  readonly service: string
  readonly method: 'GET' | 'POST' | 'PUT'
  readonly bytes: number
}

interface CachedLookup { readonly origins: readonly string[], readonly ticket: string, readonly validUntil: number }

const ANSWER_TIMEOUT_MS = 15_000

/** Sends the requests of one workspace and checks that each answer belongs to its request. */
export class Caller {
  readonly #agent = new Agent({ pipelining: 1, keepAliveTimeout: 4_000 })
  readonly #lookupCache = new Map<string, CachedLookup>()
  #requestCount = 0

  constructor (readonly workspace: string, readonly key: string, readonly lookupHosts: () => readonly string[]) {}

  async send (request: CallerRequest): Promise<CallerOutcome> {
    const sentAt = Date.now()
    const startedAt = performance.now()
    const lookup = await this.#resolveOrigins(request.service)
    const idempotencyKey = request.method === 'POST' ? `${lookup?.ticket ?? 'none'}-${randomUUID()}` : null
    const finish = (kind: CallerOutcome['kind'], reason: string, ran: string): CallerOutcome => ({
      workspace: this.workspace, service: request.service, kind, reason, ran, latencyMs: performance.now() - startedAt, sentAt, idempotencyKey
    })
    const origin = lookup?.origins[0]
    if (origin === undefined) return finish('refused', 'lookup-failed', 'not-run')
    this.#requestCount += 1
    const path = `/item/${this.workspace}/${this.#requestCount}`
    const body = request.bytes === 0 ? null : Buffer.alloc(request.bytes, this.#requestCount % 251)
    try {
      const answer = await this.#agent.request({
        origin,
        path: `/services/${request.service}${path}`,
        method: request.method,
        headers: { authorization: `Bearer ${this.key}`, ...(idempotencyKey === null ? {} : { 'idempotency-key': idempotencyKey }) },
        body,
        headersTimeout: ANSWER_TIMEOUT_MS,
        bodyTimeout: ANSWER_TIMEOUT_MS
      })
      const text = await answer.body.text()
      if (answer.statusCode !== 200) return finish('refused', String(answer.headers['rhubarbseam-reason'] ?? answer.statusCode), String(answer.headers['rhubarbseam-ran'] ?? 'unknown'))
      const parsed = JSON.parse(text) as { workspace: string, path: string, digest: string }
      const digest = createHash('sha256').update(body ?? '').digest('hex')
      const isMatching = parsed.workspace === this.workspace && parsed.path === path && parsed.digest === digest
      return isMatching ? finish('served', '', 'run') : finish('wrong-answer', text, 'run')
    } catch (error) {
      this.#lookupCache.delete(request.service)
      return finish('cut', error instanceof Error ? error.message : 'cut', 'unknown')
    }
  }

  async close (): Promise<void> { await this.#agent.close() }

  async #resolveOrigins (service: string): Promise<CachedLookup | null> {
    const cached = this.#lookupCache.get(service)
    if (cached !== undefined && cached.validUntil > performance.now()) return cached
    const hosts = this.lookupHosts()
    const first = Math.floor(Math.random() * hosts.length)
    for (let step = 0; step < hosts.length; step += 1) {
      const answer = await this.#lookUp(hosts[(first + step) % hosts.length] ?? '', service)
      if (answer === null) continue
      this.#lookupCache.set(service, answer)
      return answer
    }
    return null
  }

  async #lookUp (host: string, service: string): Promise<CachedLookup | null> {
    try {
      const answer = await this.#agent.request({ origin: `http://${host}`, path: `/v1/lookup?service=${service}`, method: 'GET', headersTimeout: 1_000 })
      const body = await answer.body.json() as { entryHosts?: Array<{ callers: { address: string, port: number } }>, ttlMs?: number, ticket?: string }
      if (answer.statusCode !== 200 || body.entryHosts === undefined) return null
      const origins = body.entryHosts.map(row => `http://${row.callers.address}:${row.callers.port}`)
      return { origins, ticket: body.ticket ?? '', validUntil: performance.now() + (body.ttlMs ?? 0) }
    } catch {
      return null
    }
  }
}

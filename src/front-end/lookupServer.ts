/** Answers look-ups by place, and whether this host is ready, on addresses of their own. */

import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { toId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { LookupAnswered, LookupId, LookupReceived, Place, RankedHost } from '../lookup/types.js'
import type { Address } from '../core/address.js'
import type { Metrics } from '../observability/metrics.js'
import { parseUrl, sendJson } from './jsonBody.js'
import { listenOn } from '../process/listen.js'

/** What a caller asks. */
export type DirectoryRequest =
  | { readonly kind: 'readiness' }
  | { readonly kind: 'lookup', readonly place: Place }
  | { readonly kind: 'unknown' }

/** One way to speak about look-ups. */
export interface LookupProtocol {
  parseRequest (url: URL): DirectoryRequest
  /** The body that names hosts for a time, in milliseconds. */
  createBody (hosts: readonly RankedHost[], ttlMs: Millis): unknown
}

/** What look-ups need of their process. */
export interface LookupContext {
  readonly protocol: LookupProtocol
  readonly metrics: Metrics
  push (row: LookupReceived): void
  /** Whether callers may be sent here. */
  isReady (): boolean
  /** Whether look-ups are answered. */
  isServing (): boolean
}

/** Serves look-ups and readiness, on one address or two. */
export class LookupServer {
  readonly #servers: Server[] = []
  readonly #open = new Map<LookupId, ServerResponse>()
  #count = 0

  constructor (readonly context: LookupContext) {}

  /** Listens on one more address; rejects when it cannot be had. */
  async listen (address: Address): Promise<number> {
    const server = createServer((request, response) => { this.#route(request, response) })
    this.#servers.push(server)
    return await listenOn(server, address)
  }

  /** Answers a look-up. */
  deliver (row: LookupAnswered): void {
    const response = this.#open.get(row.lookup)
    if (response === undefined) return
    this.#open.delete(row.lookup)
    this.context.metrics.lookups.inc({ outcome: row.error?.kind ?? 'answered' })
    if (row.error !== null) sendJson(response, 503, { error: row.error.kind })
    else sendJson(response, 200, this.context.protocol.createBody(row.hosts, row.ttlMs))
  }

  close (): void {
    for (const server of this.#servers) {
      server.close()
      server.closeAllConnections()
    }
  }

  #route (request: IncomingMessage, response: ServerResponse): void {
    const url = parseUrl(request)
    const question: DirectoryRequest = url === null ? { kind: 'unknown' } : this.context.protocol.parseRequest(url)
    if (question.kind === 'readiness') this.#answerReady(response)
    else if (question.kind === 'lookup') this.#takeLookup(question.place, response)
    else sendJson(response, 404, { error: 'path-unknown' })
  }

  #answerReady (response: ServerResponse): void {
    const ready = this.context.isReady()
    sendJson(response, ready ? 200 : 503, { ready })
  }

  #takeLookup (place: Place, response: ServerResponse): void {
    if (!this.context.isServing()) {
      sendJson(response, 503, { error: 'stopping' }, true)
      return
    }
    this.#count += 1
    const lookup = toId<LookupId>(`directory-${this.#count}`)
    this.#open.set(lookup, response)
    response.once('close', () => { this.#open.delete(lookup) })
    this.context.push({ kind: 'lookup', lookup, service: null, client: null, place })
  }
}

/** HTTP server for look-ups by place and for readiness checks, on its own listen addresses. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { toId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { LookupAnswered, LookupId, LookupReceived, Place, RankedHost } from '../lookup/types.js'
import type { Address } from '../core/address.js'
import type { Metrics } from '../observability/metrics.js'
import { guardResponse } from '../process/containment.js'
import type { FaultLog } from '../process/containment.js'
import { HttpListener } from '../process/httpListener.js'
import { parseUrl } from '../process/requestUrl.js'
import { sendJson } from './jsonBody.js'

const LISTENER_NAME = 'lookups'

/** A request to this server after parsing. */
export type LookupServerRequest =
  | { readonly kind: 'readiness' }
  | { readonly kind: 'lookup', readonly place: Place }
  | { readonly kind: 'unknown' }

/** Adapter between an HTTP protocol of look-ups and the types of the product. */
export interface LookupProtocol {
  parseRequest (url: URL): LookupServerRequest
  /** Returns the body of a response: hosts, best first, valid for `ttlMs`. */
  createBody (hosts: readonly RankedHost[], ttlMs: Millis): unknown
}

/** Dependencies of `LookupServer`. */
export interface LookupContext {
  readonly protocol: LookupProtocol
  readonly metrics: Metrics
  readonly faults: FaultLog
  push (row: LookupReceived): void
  /** Returns the condition that this host lacks to be ready for requests, or null if it is ready. */
  findUnreadyReason (): string | null
  /** Whether look-ups are answered; they get status 503 otherwise. */
  isServing (): boolean
}

/** Serves look-ups and readiness checks, on one address or several. */
export class LookupServer {
  readonly #listeners: HttpListener[] = []
  readonly #pending = new Map<LookupId, ServerResponse>()
  #count = 0

  constructor (readonly context: LookupContext) {}

  /** Listens on a further address and returns the port; rejects when the address cannot be used. */
  async listen (address: Address): Promise<number> {
    const listener = new HttpListener({ name: LISTENER_NAME, faults: this.context.faults, handle: (request, response) => { this.#route(request, response) } })
    const port = await listener.listen(address)
    this.#listeners.push(listener)
    return port
  }

  /** Sends the result of a look-up. */
  deliver (row: LookupAnswered): void {
    const response = this.#pending.get(row.lookup)
    if (response === undefined) return
    this.#pending.delete(row.lookup)
    this.context.metrics.lookups.inc({ outcome: row.error?.kind ?? 'answered' })
    guardResponse(this.context.faults, LISTENER_NAME, response, () => { this.#answerLookup(row, response) })
  }

  #answerLookup (row: LookupAnswered, response: ServerResponse): void {
    if (row.error !== null) sendJson(response, 503, { error: row.error.kind })
    else sendJson(response, 200, this.context.protocol.createBody(row.hosts, row.ttlMs))
  }

  close (): void {
    for (const listener of this.#listeners) listener.close()
  }

  #route (request: IncomingMessage, response: ServerResponse): void {
    const url = parseUrl(request)
    const parsed: LookupServerRequest = url === null ? { kind: 'unknown' } : this.context.protocol.parseRequest(url)
    if (parsed.kind === 'readiness') this.#answerReadiness(response)
    else if (parsed.kind === 'lookup') this.#handleLookup(parsed.place, response)
    else sendJson(response, 404, { error: 'path-unknown' })
  }

  #answerReadiness (response: ServerResponse): void {
    const missing = this.context.findUnreadyReason()
    if (missing === null) sendJson(response, 200, { ready: true })
    else sendJson(response, 503, { ready: false, missing })
  }

  #handleLookup (place: Place, response: ServerResponse): void {
    if (!this.context.isServing()) {
      sendJson(response, 503, { error: 'stopping' }, true)
      return
    }
    this.#count += 1
    const lookup = toId<LookupId>(`directory-${this.#count}`)
    this.#pending.set(lookup, response)
    response.once('close', () => { this.#pending.delete(lookup) })
    this.context.push({ kind: 'lookup', lookup, service: null, client: null, place })
  }
}

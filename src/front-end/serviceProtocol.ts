/** The product's own HTTP protocol towards callers: `/services/NAME/PATH` with the API key as a bearer token. */

import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import { toId } from '../core/id.js'
import type { ServiceId } from '../core/id.js'
import type { AttemptStarted, RequestRefused } from '../exchange/types.js'
import { createTicket } from '../idempotency/recordPlacement.js'
import { parseIpv4Address } from '../lookup/blockTable.js'
import type { LookupAnswered } from '../lookup/types.js'
import { findKey, forwardResponseHeaders, forwardRequestHeaders, redactKey } from './callerHeaders.js'
import type { ResponseHead, ResponseClass, CallerProtocol, ParsedRequest, CallerRequest, HeaderFields } from './callerProtocol.js'
import { parseUrl } from '../process/requestUrl.js'
import { sendJson } from './jsonBody.js'
import { readServerNotice } from './serverNotice.js'
import type { ServerNotice } from '../server-notice/types.js'

const MS_PER_SECOND = 1_000
const MAX_IDEMPOTENCY_KEY_LENGTH = 256
/** Names an attempt towards a backend server, which may repeat it in the response. */
export const ATTEMPT_HEADER = 'rhubarbseam-attempt'
/** Set to 1 by a backend server that leaves, in each of its answers. */
export const LEAVING_HEADER = 'rhubarbseam-leaving'
const LOOKUP_PATH = '/v1/lookup'
const SERVICE_PATH = /^\/services\/([A-Za-z0-9][A-Za-z0-9._-]{0,127})(\/.*)$/

/** Implements the product's own protocol. */
export class ServiceProtocol implements CallerProtocol {
  readonly attemptName = { header: ATTEMPT_HEADER, isAlwaysSent: false }

  parseRequest (request: IncomingMessage): ParsedRequest {
    const url = request.url ?? '/'
    const pathname = url.split('?', 1)[0] ?? url
    if (pathname === LOOKUP_PATH) return this.#parseLookup(request)
    const match = SERVICE_PATH.exec(url)
    if (match?.[1] === undefined || match[2] === undefined) return { kind: 'malformed', status: 404, reason: 'path-unknown' }
    const key = findKey(request.headers)
    const timeout = Number(request.headers['rhubarbseam-timeout-ms'])
    const idempotencyKey = request.headers['idempotency-key']
    return {
      kind: 'request',
      target: { kind: 'service', service: toId<ServiceId>(match[1]) },
      path: redactKey(match[2], key),
      key,
      timeoutMs: Number.isFinite(timeout) && timeout > 0 ? timeout : null,
      affinity: null,
      idempotencyKey: typeof idempotencyKey === 'string' && idempotencyKey !== '' ? idempotencyKey.slice(0, MAX_IDEMPOTENCY_KEY_LENGTH) : null,
      requestId: null
    }
  }

  #parseLookup (request: IncomingMessage): ParsedRequest {
    const service = parseUrl(request)?.searchParams.get('service') ?? null
    if (request.method !== 'GET' || service === null) return { kind: 'malformed', status: 400, reason: 'lookup-malformed' }
    return { kind: 'lookup', query: { service: toId<ServiceId>(service), client: parseIpv4Address(request.socket.remoteAddress ?? ''), place: null } }
  }

  attemptHeaders (request: IncomingMessage, parsed: CallerRequest, attempt: AttemptStarted): HeaderFields {
    const headers = forwardRequestHeaders(request.headers, parsed.key)
    if (attempt.workspace !== null) headers['rhubarbseam-workspace'] = attempt.workspace
    headers[ATTEMPT_HEADER] = attempt.attempt
    headers['rhubarbseam-deadline-ms'] = String(Math.max(1, Math.floor(attempt.timeoutMs)))
    return headers
  }

  classifyResponse (_request: IncomingMessage, head: ResponseHead, { attempt }: AttemptStarted): ResponseClass {
    const named = head.headers[ATTEMPT_HEADER]
    if (named !== undefined && named !== attempt) return 'stray'
    const isShed = (head.statusCode === 503 || head.statusCode === 429) && head.headers['retry-after'] !== undefined
    return isShed ? 'shed' : 'answer'
  }

  readLoad (): null { return null }

  readNotice (head: ResponseHead): ServerNotice | null { return readServerNotice(head, LEAVING_HEADER) }

  responseHeaders (headers: IncomingHttpHeaders): HeaderFields { return forwardResponseHeaders(headers) }

  prepareResponse (response: ServerResponse, exchange: string): void { response.setHeader('rhubarbseam-exchange', exchange) }

  refuse (_request: IncomingMessage, response: ServerResponse, refusal: RequestRefused, shouldClose: boolean): void {
    const { reason, ran, retryAfterMs, alternatives } = refusal
    response.setHeader('rhubarbseam-reason', reason)
    response.setHeader('rhubarbseam-ran', ran)
    if (retryAfterMs !== null) response.setHeader('retry-after', String(Math.ceil(retryAfterMs / MS_PER_SECOND)))
    sendJson(response, refusal.status, { error: { reason, ran, retryAfterMs, entryHosts: alternatives } }, shouldClose)
  }

  answerLookup (response: ServerResponse, result: LookupAnswered): void {
    if (result.error !== null) sendJson(response, result.error.kind === 'service-unknown' ? 404 : 503, { error: { reason: result.error.kind, ran: 'not-run' } })
    else sendJson(response, 200, { entryHosts: result.hosts, ttlMs: result.ttlMs, ticket: createTicket(result.ticketZone) })
  }
}

/** The product's own interface towards callers: services by name in the path, keys as bearer tokens. */

import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import { toId } from '../core/id.js'
import type { ServiceId } from '../core/id.js'
import type { AttemptStarted, RequestRefused } from '../exchange/types.js'
import { createTicket } from '../idempotency/recordPlacement.js'
import { parseIpv4Address } from '../lookup/blockTable.js'
import type { LookupAnswered } from '../lookup/types.js'
import { findKey, forwardAnswerHeaders, forwardRequestHeaders, redactKey } from './callerHeaders.js'
import type { AnswerHead, AnswerVerdict, CallerDialect, CallerQuestion, CallerRequest, HeaderFields } from './callerDialect.js'
import { sendJson } from './jsonBody.js'

const MS_PER_SECOND = 1_000
const IDEMPOTENCY_KEY_LENGTH = 256
const LOOKUP_PATH = '/v1/lookup'
const SERVICE_PATH = /^\/services\/([A-Za-z0-9][A-Za-z0-9._-]{0,127})(\/.*)$/

/** Speaks the product's own interface. */
export class ServiceProtocol implements CallerDialect {
  read (request: IncomingMessage): CallerQuestion {
    const url = request.url ?? '/'
    const plain = url.split('?', 1)[0] ?? url
    if (plain === LOOKUP_PATH) return this.#readLookup(request, url)
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
      idempotencyKey: typeof idempotencyKey === 'string' && idempotencyKey !== '' ? idempotencyKey.slice(0, IDEMPOTENCY_KEY_LENGTH) : null,
      requestId: null
    }
  }

  #readLookup (request: IncomingMessage, url: string): CallerQuestion {
    const service = new URL(url, 'http://localhost').searchParams.get('service')
    if (request.method !== 'GET' || service === null) return { kind: 'malformed', status: 400, reason: 'lookup-malformed' }
    return { kind: 'lookup', question: { service: toId<ServiceId>(service), client: parseIpv4Address(request.socket.remoteAddress ?? ''), place: null } }
  }

  attemptHeaders (request: IncomingMessage, question: CallerRequest, attempt: AttemptStarted): HeaderFields {
    const headers = forwardRequestHeaders(request.headers, question.key)
    if (attempt.workspace !== null) headers['rhubarbseam-workspace'] = attempt.workspace
    headers['rhubarbseam-deadline-ms'] = String(Math.max(1, Math.floor(attempt.timeoutMs)))
    return headers
  }

  judge (_request: IncomingMessage, head: AnswerHead): AnswerVerdict {
    const isShed = (head.statusCode === 503 || head.statusCode === 429) && head.headers['retry-after'] !== undefined
    return isShed ? 'shed' : 'answer'
  }

  readLoad (): null { return null }

  answerHeaders (headers: IncomingHttpHeaders): HeaderFields { return forwardAnswerHeaders(headers) }

  announce (response: ServerResponse, exchange: string): void { response.setHeader('rhubarbseam-exchange', exchange) }

  refuse (_request: IncomingMessage, response: ServerResponse, refusal: RequestRefused, closes: boolean): void {
    const { reason, ran, retryAfterMs, alternatives } = refusal
    response.setHeader('rhubarbseam-reason', reason)
    response.setHeader('rhubarbseam-ran', ran)
    if (retryAfterMs !== null) response.setHeader('retry-after', String(Math.ceil(retryAfterMs / MS_PER_SECOND)))
    sendJson(response, refusal.status, { error: { reason, ran, retryAfterMs, entryHosts: alternatives } }, closes)
  }

  answerLookup (response: ServerResponse, answer: LookupAnswered): void {
    if (answer.error !== null) sendJson(response, answer.error.kind === 'service-unknown' ? 404 : 503, { error: { reason: answer.error.kind, ran: 'not-run' } })
    else sendJson(response, 200, { entryHosts: answer.hosts, ttlMs: answer.ttlMs, ticket: createTicket(answer.ticketZone) })
  }
}

/** The HTTP front end towards callers: turns requests into inbox rows and outbox rows into answers. */

import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Readable } from 'node:stream'
import type { Socket } from 'node:net'
import { toId } from '../core/id.js'
import type { AttemptId, ExchangeId } from '../core/id.js'
import type { EntryInput, EntryOutput } from '../entry/types.js'
import type { AttemptResult, AttemptStarted, RequestRefused } from '../exchange/types.js'
import { digestKey } from '../key-check/keyCheck.js'
import type { LookupAnswered, LookupId } from '../lookup/types.js'
import { parseTicket } from '../idempotency/recordPlacement.js'
import type { AnswerReplayed } from '../idempotency/types.js'
import { listenOn } from '../process/listen.js'
import { relayAnswer } from './answerRelay.js'
import type { Address } from '../core/address.js'
import type { Metrics } from '../observability/metrics.js'
import { endSpan } from '../observability/tracing.js'
import type { RequestTrace, Tracing } from '../observability/tracing.js'
import { AttemptClient, classifyFailure, discardAnswer } from './attemptClient.js'
import type { AttemptAnswer, AttemptRequest, RunningAttempt } from './attemptClient.js'
import type { CallerDialect, CallerQuestion, CallerRequest } from './callerDialect.js'
import { sendJson } from './jsonBody.js'
import { LoopWatch } from './loopWatch.js'
import { limitBody, takeBody } from './requestBody.js'
import type { BodyLimits, RequestBody } from './requestBody.js'

const HEADERS_TIMEOUT_MS = 5_000
const REQUEST_TIMEOUT_MS = 120_000
const IDLE_CONNECTION_MS = 30_000
const MS_PER_SECOND = 1_000
const REQUEST_ID_LENGTH = 128

/** What the caller server is made from. */
export interface CallerServerOptions {
  readonly host: string
  readonly listen: Address
  readonly protocol: CallerDialect
  readonly limits: BodyLimits & { readonly headerBytes: number, readonly connections: number }
  readonly metrics: Metrics
  readonly tracing: Tracing | null
  readonly push: (row: EntryInput) => void
  /** Whether the process is leaving, so that connections are not kept. */
  readonly isLeaving: () => boolean
}

type HopSpan = ReturnType<Tracing['startAttempt']> | null

interface Exchange {
  readonly exchange: ExchangeId
  /** The service or authority that the caller named. */
  readonly subject: string
  readonly question: CallerRequest
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly body: RequestBody
  readonly trace: RequestTrace | null
  readonly startedAt: number
  running: { attempt: AttemptId, sent: RunningAttempt, answer: AttemptAnswer | null, keepsAnswer: boolean } | null
}

/** Serves callers over HTTP. */
export class CallerServer {
  readonly #server: Server
  readonly #client = new AttemptClient()
  readonly #loop = new LoopWatch()
  readonly #exchanges = new Map<ExchangeId, Exchange>()
  readonly #lookups = new Map<LookupId, ServerResponse>()
  #count = 0

  constructor (readonly options: CallerServerOptions) {
    this.#server = createServer({
      maxHeaderSize: options.limits.headerBytes,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: IDLE_CONNECTION_MS,
      requireHostHeader: true
    }, (request, response) => { this.#route(request, response) })
    this.#server.maxConnections = options.limits.connections
    this.#server.on('clientError', (error, socket) => { this.#refuseMalformed(error as NodeJS.ErrnoException, socket as Socket) })
  }

  /** Listens; rejects when the address cannot be had. */
  async listen (): Promise<number> { return await listenOn(this.#server, this.options.listen) }

  /** Carries out an outbox row that concerns callers. */
  deliver (row: EntryOutput): void {
    switch (row.kind) {
      case 'lookup-answer': this.#answerLookup(row); return
      case 'refuse': this.#refuse(row); return
      case 'start-attempt': this.#start(row); return
      case 'relay-answer': this.#relay(row.exchange, row.attempt); return
      case 'abandon-attempt': this.#abandon(row.exchange, row.attempt); return
      case 'replay-answer': this.#replay(row); return
      case 'cut-answer': this.#cut(row.exchange)
    }
  }

  /** Closes what is idle and waits for connections to end; whatever remains after that is closed. */
  async close (graceMs: number): Promise<void> {
    const closed = new Promise<void>(resolve => { this.#server.close(() => { resolve() }) })
    this.#server.closeIdleConnections()
    const timer = setTimeout(() => { this.#server.closeAllConnections() }, graceMs)
    await closed
    clearTimeout(timer)
    await this.#client.close()
  }

  #nextId (): string {
    this.#count += 1
    return `${this.options.host}-${this.#count}`
  }

  #nameExchange ({ requestId }: CallerRequest): ExchangeId {
    const own = requestId === null ? null : toId<ExchangeId>(requestId.slice(0, REQUEST_ID_LENGTH))
    return own === null || this.#exchanges.has(own) ? toId<ExchangeId>(this.#nextId()) : own
  }

  #route (request: IncomingMessage, response: ServerResponse): void {
    const question = this.options.protocol.read(request)
    if (question.kind === 'lookup') this.#takeLookup(request, response, question)
    else if (question.kind === 'request') void this.#takeRequest(request, response, question)
    else sendJson(response, question.status, { error: { reason: question.reason, ran: 'not-run' } })
  }

  #takeLookup (request: IncomingMessage, response: ServerResponse, { question }: Extract<CallerQuestion, { kind: 'lookup' }>): void {
    const lookup = toId<LookupId>(this.#nextId())
    this.#lookups.set(lookup, response)
    const trace = this.options.tracing?.startRequest('lookup', request.headers)
    response.once('close', () => {
      this.#lookups.delete(lookup)
      if (trace !== undefined) endSpan(trace.span, String(response.statusCode), response.statusCode >= 500)
    })
    this.options.push({ kind: 'lookup', lookup, ...question })
  }

  #answerLookup (row: LookupAnswered): void {
    const response = this.#lookups.get(row.lookup)
    if (response === undefined) return
    this.#lookups.delete(row.lookup)
    this.options.metrics.lookups.inc({ outcome: row.error?.kind ?? 'answered' })
    this.options.protocol.answerLookup(response, row)
  }

  async #takeRequest (request: IncomingMessage, response: ServerResponse, question: CallerRequest): Promise<void> {
    const exchange = this.#nameExchange(question)
    const body = await takeBody(request, this.options.limits)
    if ('kind' in body) {
      if (body.kind === 'too-large') sendJson(response, 413, { error: { reason: 'body-too-large', ran: 'not-run' } }, true)
      return
    }
    if (response.destroyed) return
    const { target, path, key, timeoutMs, affinity, idempotencyKey } = question
    const subject = target.kind === 'service' ? target.service : target.authority
    const trace = this.options.tracing?.startRequest(`request ${subject}`, request.headers) ?? null
    const row: Exchange = { exchange, subject, question, request, response, body, trace, startedAt: performance.now(), running: null }
    this.#exchanges.set(exchange, row)
    this.options.protocol.announce(response, exchange)
    response.once('close', () => { this.#end(row) })
    const method = request.method ?? 'GET'
    this.options.push({
      kind: 'request',
      exchange,
      target,
      method,
      path,
      key: key === null ? null : digestKey(key),
      affinity,
      readAt: performance.now(),
      isLate: this.#loop.isSaturated(),
      timeoutMs,
      fingerprint: `${method} ${path} ${body.digest}`,
      replayable: body.replayable,
      idempotencyKey,
      ticketAgeMs: idempotencyKey === null ? null : ticketAge(idempotencyKey)
    })
  }

  #end (row: Exchange): void {
    if (!this.#exchanges.delete(row.exchange)) return
    const { response, trace, subject } = row
    const isWhole = response.writableFinished
    if (!isWhole) {
      row.running?.sent.abort()
      this.options.push({ kind: 'caller-left', exchange: row.exchange })
    }
    const outcome = isWhole ? String(response.statusCode) : 'cut'
    this.options.metrics.requests.inc({ service: subject, outcome })
    this.options.metrics.latency.observe({ service: subject }, (performance.now() - row.startedAt) / MS_PER_SECOND)
    if (trace !== null) endSpan(trace.span, outcome, !isWhole || response.statusCode >= 500)
  }

  #refuse (row: RequestRefused): void {
    const exchange = this.#exchanges.get(row.exchange)
    if (exchange === undefined) return
    this.options.metrics.refusals.inc({ reason: row.reason, ran: row.ran })
    const { response } = exchange
    if (response.headersSent) {
      response.destroy()
      return
    }
    const isBodyUnread = !exchange.request.complete
    this.options.protocol.refuse(exchange.request, response, row, isBodyUnread || this.options.isLeaving())
  }

  #start (row: AttemptStarted): void {
    const exchange = this.#exchanges.get(row.exchange)
    if (exchange === undefined) return
    const span = exchange.trace === null ? null : this.options.tracing?.startAttempt(exchange.trace, row) ?? null
    const sent = this.#client.send(this.#toAttempt(exchange, row, span))
    exchange.running = { attempt: row.attempt, sent, answer: null, keepsAnswer: row.keepsAnswer }
    sent.answer.then(
      answer => { this.#takeAnswer(exchange, row, answer, span) },
      (error: unknown) => {
        const failure = classifyFailure(error)
        if (span !== null) endSpan(span, failure.reason, true)
        this.#report(row, failure)
      }
    )
  }

  #toAttempt (exchange: Exchange, row: AttemptStarted, span: HopSpan): AttemptRequest {
    const { request, body, question, trace } = exchange
    const headers = this.options.protocol.attemptHeaders(request, question, row)
    if (trace !== null && span !== null) this.options.tracing?.inject(trace, span, headers)
    return {
      origin: `http://${row.target.address}:${row.target.port}`,
      path: question.path,
      method: request.method ?? 'GET',
      headers,
      body: body.buffered === null ? Readable.from(limitBody(request, this.options.limits.bodyBytes)) : (body.buffered.length === 0 ? null : body.buffered),
      isSafeToLose: row.idempotent,
      timeoutMs: row.timeoutMs
    }
  }

  #takeAnswer (exchange: Exchange, row: AttemptStarted, answer: AttemptAnswer, span: HopSpan): void {
    const { protocol: dialect } = this.options
    const verdict = dialect.judge(exchange.request, answer)
    if (verdict === 'answer' && exchange.running?.attempt === row.attempt) exchange.running.answer = answer
    else discardAnswer(answer)
    if (span !== null) endSpan(span, String(answer.statusCode), answer.statusCode >= 500)
    if (verdict === 'misdirected') this.#report(row, { kind: 'misdirected' })
    else if (verdict === 'stray') this.#report(row, { kind: 'lost', reason: 'STRAY_ANSWER' })
    else this.#report(row, { kind: 'head', status: answer.statusCode, shed: verdict === 'shed', load: dialect.readLoad(answer.headers) })
  }

  #report (row: AttemptStarted, result: AttemptResult): void {
    this.options.metrics.attempts.inc({ result: result.kind })
    this.options.push({ kind: 'attempt', exchange: row.exchange, attempt: row.attempt, result })
  }

  #relay (id: ExchangeId, attempt: AttemptId): void {
    const exchange = this.#exchanges.get(id)
    const answer = exchange?.running?.attempt === attempt ? exchange.running.answer : null
    if (exchange === undefined || answer === null) return
    void this.#stream(exchange, attempt, answer)
  }

  async #stream (exchange: Exchange, attempt: AttemptId, answer: AttemptAnswer): Promise<void> {
    const headers = this.options.protocol.answerHeaders(answer.headers)
    if (this.options.isLeaving()) headers.connection = 'close'
    const result = await relayAnswer(exchange.response, answer, headers, exchange.running?.keepsAnswer === true)
    this.options.push({ kind: 'attempt', exchange: exchange.exchange, attempt, result })
  }

  #replay (row: AnswerReplayed): void {
    const response = this.#exchanges.get(row.exchange)?.response
    if (response === undefined || response.headersSent) return
    response.writeHead(row.answer.status, { ...row.answer.headers, 'rhubarbseam-replayed': 'true' })
    response.end(row.answer.body)
  }

  #abandon (id: ExchangeId, attempt: AttemptId): void {
    const exchange = this.#exchanges.get(id)
    if (exchange?.running?.attempt !== attempt) return
    exchange.running.sent.abort()
    exchange.running = null
  }

  #cut (id: ExchangeId): void { this.#exchanges.get(id)?.response.destroy() }

  #refuseMalformed (error: NodeJS.ErrnoException, socket: Socket): void {
    this.options.metrics.malformed.inc({ where: 'caller' })
    if (socket.destroyed || !socket.writable) return
    const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'
    const body = JSON.stringify({ error: { reason: 'request-malformed', ran: 'not-run' } })
    socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-type: application/json\r\nrhubarbseam-ran: not-run\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
  }
}

const ticketAge = (idempotencyKey: string): number | null => {
  const ticket = parseTicket(idempotencyKey)
  return ticket === null ? null : Math.max(0, Date.now() - ticket.issuedAt)
}

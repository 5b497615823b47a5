/** HTTP server for callers: converts requests to inbox rows, and outbox rows to attempts and responses. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { boundedText } from '../core/boundedText.js'
import { toId } from '../core/id.js'
import type { ExchangeId } from '../core/id.js'
import type { EntryOutput } from '../entry/types.js'
import type { RequestReceived, RequestRefused, RequestTarget } from '../exchange/types.js'
import { digestKey } from '../key-check/keyCheck.js'
import type { LookupAnswered, LookupId } from '../lookup/types.js'
import { parseTicket } from '../idempotency/recordPlacement.js'
import type { AnswerReplayed } from '../idempotency/types.js'
import { contain, guardResponse } from '../process/containment.js'
import { HttpListener } from '../process/httpListener.js'
import type { Address } from '../core/address.js'
import { SubjectLabels } from '../observability/subjectLabels.js'
import { endSpan } from '../observability/tracing.js'
import { AttemptRelay } from './attemptRelay.js'
import type { AttemptRelayOptions } from './attemptRelay.js'
import { CallerConnection } from './callerConnection.js'
import type { CallerExchange } from './callerExchange.js'
import type { ParsedRequest, CallerRequest } from './callerProtocol.js'
import { sendJson } from './jsonBody.js'
import { EventLoopMonitor } from './eventLoopMonitor.js'
import { BufferedBodies } from './bufferedBodies.js'
import { EMPTY_BODY, readBody } from './requestBody.js'
import type { BodyLimits } from './requestBody.js'
import { SaturationLimit } from './saturationLimit.js'

const LISTENER_NAME = 'callers'
const HEADERS_TIMEOUT_MS = 5_000
const REQUEST_TIMEOUT_MS = 120_000
const KEEP_ALIVE_TIMEOUT_MS = 30_000
const MS_PER_SECOND = 1_000
const MAX_REQUEST_ID_LENGTH = 128
/** Bytes of buffered bodies of unanswered requests. */
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024

export interface CallerServerOptions extends AttemptRelayOptions {
  /** Prefix of the exchange and look-up ids that this server creates. */
  readonly host: string
  readonly listen: Address
  readonly limits: BodyLimits & { readonly headerBytes: number, readonly connections: number }
  /** Whether the configuration has what a request addresses. */
  readonly isConfigured: (target: RequestTarget) => boolean
  /** Whether the process is shutting down, so that connections are closed after each response. */
  readonly isLeaving: () => boolean
}

/** Serves callers over HTTP. */
export class CallerServer {
  readonly #listener: HttpListener
  readonly #attempts: AttemptRelay
  readonly #eventLoop = new EventLoopMonitor()
  readonly #saturationLimit = new SaturationLimit()
  readonly #exchanges = new Map<ExchangeId, CallerExchange>()
  readonly #lookups = new Map<LookupId, ServerResponse>()
  readonly #bufferedBodies = new BufferedBodies<CallerExchange>(MAX_BUFFERED_BYTES)
  readonly #labels = new SubjectLabels()
  readonly #connections = new WeakMap<Socket, CallerConnection>()
  #idCount = 0

  constructor (readonly options: CallerServerOptions) {
    this.#attempts = new AttemptRelay(options, {
      findExchange: id => this.#exchanges.get(id),
      mustClose: exchange => this.#mustClose(exchange),
      fail: (exchange, error) => { this.#failExchange(exchange, error) }
    })
    this.#listener = new HttpListener({
      name: LISTENER_NAME,
      faults: options.faults,
      handle: (request, response) => { this.#route(request, response) },
      rejectMalformed: (error, socket) => { this.#rejectMalformed(error, socket) },
      server: {
        maxHeaderSize: options.limits.headerBytes,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        requireHostHeader: true
      },
      maxConnections: options.limits.connections
    })
  }

  /** Listens and returns the port; rejects when the address cannot be used. */
  async listen (): Promise<number> { return await this.#listener.listen(this.options.listen) }

  /** Executes an outbox row. */
  deliver (row: EntryOutput): void {
    const exchange = 'exchange' in row ? this.#exchanges.get(row.exchange) : undefined
    if (exchange === undefined) this.#execute(row)
    else this.#guard(exchange, () => { this.#execute(row) })
  }

  #execute (row: EntryOutput): void {
    switch (row.kind) {
      case 'lookup-answer': this.#answerLookup(row); return
      case 'refuse': this.#sendRefusal(row); return
      case 'start-attempt': this.#attempts.start(row); return
      case 'relay-answer': this.#attempts.relay(row.exchange, row.attempt); return
      case 'abandon-attempt': this.#attempts.abandon(row.exchange, row.attempt); return
      case 'replay-answer': this.#replayResponse(row); return
      case 'defer-request': this.#deferRequest(row.exchange); return
      case 'cut-answer': this.#cutConnection(row.exchange)
    }
  }

  /** Stops listening, closes idle connections, and closes all remaining ones after `graceMs`. */
  async close (graceMs: number): Promise<void> {
    await this.#listener.drain(graceMs)
    await this.#attempts.close()
  }

  #nextId (): string {
    this.#idCount += 1
    return `${this.options.host}-${this.#idCount}`
  }

  #createExchangeId ({ requestId }: CallerRequest): ExchangeId {
    const requested = requestId === null ? null : toId<ExchangeId>(boundedText(requestId, MAX_REQUEST_ID_LENGTH))
    return requested === null || this.#exchanges.has(requested) ? toId<ExchangeId>(this.#nextId()) : requested
  }

  #route (request: IncomingMessage, response: ServerResponse): void {
    const parsed = this.options.protocol.parseRequest(request)
    if (parsed.kind === 'lookup') this.#handleLookup(request, response, parsed)
    else if (parsed.kind === 'request') this.#handleRequest(request, response, parsed)
    else sendJson(response, parsed.status, { error: { reason: parsed.reason, ran: 'not-run' } })
  }

  #handleLookup (request: IncomingMessage, response: ServerResponse, { query }: Extract<ParsedRequest, { kind: 'lookup' }>): void {
    const lookup = toId<LookupId>(this.#nextId())
    this.#lookups.set(lookup, response)
    const trace = this.options.tracing?.startRequest('lookup', request.headers)
    response.once('close', () => {
      this.#lookups.delete(lookup)
      if (trace !== undefined) this.#listener.guard(response, () => { endSpan(trace.span, String(response.statusCode), response.statusCode >= 500) })
    })
    this.options.push({ kind: 'lookup', lookup, ...query })
  }

  #answerLookup (row: LookupAnswered): void {
    const response = this.#lookups.get(row.lookup)
    if (response === undefined) return
    this.#lookups.delete(row.lookup)
    this.options.metrics.lookups.inc({ outcome: row.error?.kind ?? 'answered' })
    guardResponse(this.options.faults, LISTENER_NAME, response, () => { this.options.protocol.answerLookup(response, row) })
  }

  #findConnection (socket: Socket): CallerConnection {
    let connection = this.#connections.get(socket)
    if (connection === undefined) {
      connection = new CallerConnection(socket)
      this.#connections.set(socket, connection)
    }
    return connection
  }

  #handleRequest (request: IncomingMessage, response: ServerResponse, callerRequest: CallerRequest): void {
    const connection = this.#findConnection(request.socket)
    // During a shutdown the last answer of a connection closes it, so nothing is taken behind a request.
    if (this.options.isLeaving() && connection.size > 0) {
      connection.endAfterAnswers()
      return
    }
    const row = this.#createExchange(connection, request, response, callerRequest)
    if (!connection.add(row)) return
    this.#exchanges.set(row.exchange, row)
    this.#guard(row, async () => { await this.#readBody(row) })
  }

  async #readBody (row: CallerExchange): Promise<void> {
    const isRequired = row.callerRequest.idempotencyKey !== null
    const body = await readBody(row.request, this.options.limits, { isRequired, takeRoom: bytes => this.#bufferedBodies.take(row, bytes) })
    if ('kind' in body) {
      this.#exchanges.delete(row.exchange)
      this.#bufferedBodies.release(row)
      row.connection.end(row)
      if (body.kind === 'too-large') sendJson(row.response, 413, { error: { reason: 'body-too-large', ran: 'not-run' } }, true)
      if (body.kind === 'no-room') sendJson(row.response, 503, { error: { reason: 'overloaded', ran: 'not-run' } }, true)
      return
    }
    row.body = body
    row.connection.ready(row)
  }

  #createExchange (connection: CallerConnection, request: IncomingMessage, response: ServerResponse, callerRequest: CallerRequest): CallerExchange {
    const { target } = callerRequest
    const subject = target.kind === 'service' ? target.service : target.authority
    const row: CallerExchange = {
      exchange: this.#createExchangeId(callerRequest),
      connection,
      subject,
      callerRequest,
      request,
      response,
      body: EMPTY_BODY,
      trace: this.options.tracing?.startRequest(`request ${subject}`, request.headers) ?? null,
      receivedAt: performance.now(),
      isStarted: false,
      hasFailed: false,
      running: null,
      start: isBehind => { this.#guard(row, () => { this.#startExchange(row, isBehind) }) },
      abandon: () => { this.#guard(row, () => { this.#finishExchange(row) }) }
    }
    return row
  }

  // Called again for a request that was deferred.
  #startExchange (row: CallerExchange, isBehind: boolean): void {
    const { response } = row
    if (!row.isStarted) {
      row.isStarted = true
      this.options.protocol.prepareResponse(response, row.exchange)
      response.once('close', () => { this.#guard(row, () => { this.#finishExchange(row) }) })
    }
    this.options.push(this.#describeRequest(row, isBehind))
  }

  #describeRequest ({ exchange, request, callerRequest, body, receivedAt }: CallerExchange, isBehind: boolean): RequestReceived {
    const { target, path, key, timeoutMs, affinity, idempotencyKey } = callerRequest
    const method = request.method ?? 'GET'
    const readAt = performance.now()
    return {
      kind: 'request',
      exchange,
      target,
      method,
      path,
      key: key === null ? null : digestKey(key),
      affinity,
      readAt,
      isLate: this.#saturationLimit.refuses(this.#eventLoop.isSaturated()),
      timeoutMs,
      fingerprint: `${method} ${path} ${body.digest}`,
      replayable: body.replayable,
      idempotencyKey,
      ticketAgeMs: idempotencyKey === null ? null : ticketAgeMsOf(idempotencyKey),
      isBehind,
      waitedMs: readAt - receivedAt
    }
  }

  #deferRequest (exchange: ExchangeId): void {
    const row = this.#exchanges.get(exchange)
    row?.connection.defer(row)
  }

  #guard (row: CallerExchange, step: () => unknown): void {
    contain(step, error => { this.#failExchange(row, error) })
  }

  // The tick must not wait for an exchange that has failed here.
  #failExchange (row: CallerExchange, error: unknown): void {
    row.hasFailed = true
    this.#listener.fail(row.response, error)
    this.#finishExchange(row)
  }

  #finishExchange (row: CallerExchange): void {
    if (!this.#exchanges.delete(row.exchange)) return
    this.#bufferedBodies.release(row)
    const { response, trace, subject, callerRequest } = row
    row.connection.end(row)
    // A request that never started counts as not read.
    if (!row.isStarted) return
    const isComplete = response.writableFinished && !row.hasFailed
    if (!isComplete) {
      row.running?.handle.abort()
      this.options.push({ kind: 'caller-left', exchange: row.exchange })
    }
    const outcome = isComplete ? String(response.statusCode) : 'cut'
    const service = this.#labels.labelOf(subject, this.options.isConfigured(callerRequest.target))
    this.options.metrics.requests.inc({ service, outcome })
    this.options.metrics.latency.observe({ service }, (performance.now() - row.receivedAt) / MS_PER_SECOND)
    if (trace !== null) endSpan(trace.span, outcome, !isComplete || response.statusCode >= 500)
  }

  #sendRefusal (row: RequestRefused): void {
    const exchange = this.#exchanges.get(row.exchange)
    if (exchange === undefined) return
    this.options.metrics.refusals.inc({ reason: row.reason, ran: row.ran })
    const { response } = exchange
    if (response.headersSent) {
      response.destroy()
      return
    }
    const isBodyUnread = !exchange.request.complete
    this.options.protocol.refuse(exchange.request, response, row, isBodyUnread || this.#mustClose(exchange))
  }

  // During a shutdown the last answer of a connection closes it.
  #mustClose (exchange: CallerExchange): boolean { return this.options.isLeaving() && exchange.connection.mayCloseAfter(exchange) }

  #replayResponse (row: AnswerReplayed): void {
    const response = this.#exchanges.get(row.exchange)?.response
    if (response === undefined || response.headersSent) return
    response.writeHead(row.answer.status, { ...row.answer.headers, 'rhubarbseam-replayed': 'true' })
    response.end(row.answer.body)
  }

  #cutConnection (id: ExchangeId): void { this.#exchanges.get(id)?.response.destroy() }

  #rejectMalformed (error: NodeJS.ErrnoException, socket: Socket): void {
    this.options.metrics.malformed.inc({ where: 'caller' })
    if (socket.destroyed || !socket.writable) return
    const connection = this.#connections.get(socket)
    if (connection !== undefined && connection.size > 0) {
      // A refusal here would be taken for the answer to an earlier request.
      connection.endAfterAnswers()
      return
    }
    const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'
    const body = JSON.stringify({ error: { reason: 'request-malformed', ran: 'not-run' } })
    socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-type: application/json\r\nrhubarbseam-ran: not-run\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
  }
}

const ticketAgeMsOf = (idempotencyKey: string): number | null => {
  const ticket = parseTicket(idempotencyKey)
  return ticket === null ? null : Math.max(0, Date.now() - ticket.issuedAt)
}

/** Runs the attempts of callers' requests at backend servers, reports their results to the tick and relays responses. */

import { Readable } from 'node:stream'
import type { AttemptId, ExchangeId } from '../core/id.js'
import type { EntryInput } from '../entry/types.js'
import type { AttemptResult, AttemptStarted } from '../exchange/types.js'
import type { Metrics } from '../observability/metrics.js'
import { contain } from '../process/containment.js'
import type { FaultLog } from '../process/containment.js'
import { endSpan } from '../observability/tracing.js'
import type { Tracing } from '../observability/tracing.js'
import type { ServerNotice } from '../server-notice/types.js'
import { AttemptClient, MAX_BODY_DURATION_MS, classifyFailure, discardResponse } from './attemptClient.js'
import type { BackendResponse, AttemptRequest } from './attemptClient.js'
import type { CallerExchange } from './callerExchange.js'
import type { CallerProtocol } from './callerProtocol.js'
import { limitBody } from './requestBody.js'
import type { BodyLimits } from './requestBody.js'
import { relayResponse } from './responseRelay.js'

type AttemptSpan = ReturnType<Tracing['startAttempt']> | null

/** What relayed attempts need from the process. */
export interface AttemptRelayOptions {
  readonly protocol: CallerProtocol
  readonly limits: BodyLimits
  readonly metrics: Metrics
  readonly faults: FaultLog
  readonly tracing: Tracing | null
  readonly push: (row: EntryInput) => void
}

/** What relayed attempts need from the server of the callers. */
export interface ExchangeAccess {
  findExchange (id: ExchangeId): CallerExchange | undefined
  /** Whether the connection of a caller is closed after a response. */
  mustClose (exchange: CallerExchange): boolean
  /** Ends an exchange whose handling has failed. */
  fail (exchange: CallerExchange, error: unknown): void
}

/** Sends attempts and relays their responses. */
export class AttemptRelay {
  readonly #client: AttemptClient

  constructor (readonly options: AttemptRelayOptions, readonly exchanges: ExchangeAccess) {
    this.#client = new AttemptClient(MAX_BODY_DURATION_MS, error => { options.faults.record('backend servers', error) })
  }

  /** Closes all connections to backend servers. */
  async close (): Promise<void> { await this.#client.close() }

  /** Sends a request to a backend server. */
  start (row: AttemptStarted): void {
    const exchange = this.exchanges.findExchange(row.exchange)
    if (exchange === undefined) return
    const span = exchange.trace === null ? null : this.options.tracing?.startAttempt(exchange.trace, row) ?? null
    const handle = this.#client.send(this.#createAttemptRequest(exchange, row, span))
    exchange.running = { attempt: row.attempt, handle, backendResponse: null, keepsAnswer: row.keepsAnswer }
    handle.response.then(
      backendResponse => { this.#guard(exchange, () => { this.#handleResponse(exchange, row, backendResponse, span) }) },
      (error: unknown) => {
        this.#guard(exchange, () => {
          const failure = classifyFailure(error)
          if (span !== null) endSpan(span, failure.reason, true)
          this.#reportResult(row, failure, null)
        })
      }
    )
  }

  #guard (exchange: CallerExchange, step: () => unknown): void {
    contain(step, error => { this.exchanges.fail(exchange, error) })
  }

  #createAttemptRequest (exchange: CallerExchange, row: AttemptStarted, span: AttemptSpan): AttemptRequest {
    const { request, body, callerRequest, trace } = exchange
    const headers = this.options.protocol.attemptHeaders(request, callerRequest, row)
    if (trace !== null && span !== null) this.options.tracing?.inject(trace, span, headers)
    return {
      origin: originOf(row),
      path: callerRequest.path,
      method: request.method ?? 'GET',
      headers,
      body: body.buffered === null ? Readable.from(limitBody(request, this.options.limits.bodyBytes)) : (body.buffered.length === 0 ? null : body.buffered),
      isIdempotent: row.idempotent,
      mayKeepConnection: this.options.protocol.attemptName.isAlwaysSent,
      timeoutMs: row.timeoutMs
    }
  }

  #handleResponse (exchange: CallerExchange, row: AttemptStarted, backendResponse: BackendResponse, span: AttemptSpan): void {
    const { protocol } = this.options
    const responseClass = protocol.classifyResponse(exchange.request, backendResponse, row)
    const notice = protocol.readNotice(backendResponse)
    if (backendResponse.headers[protocol.attemptName.header] !== undefined) this.#client.keepConnections(originOf(row))
    if (responseClass === 'answer' && exchange.running?.attempt === row.attempt) exchange.running.backendResponse = backendResponse
    else discardResponse(backendResponse)
    if (span !== null) endSpan(span, String(backendResponse.statusCode), backendResponse.statusCode >= 500)
    if (responseClass === 'misdirected') this.#reportResult(row, { kind: 'misdirected' }, null)
    else if (responseClass === 'stray') this.#reportResult(row, { kind: 'lost', reason: 'STRAY_ANSWER' }, notice)
    else this.#reportResult(row, { kind: 'head', status: backendResponse.statusCode, shed: responseClass === 'shed', load: protocol.readLoad(backendResponse.headers), isWhole: Buffer.isBuffer(backendResponse.body) }, notice)
  }

  #reportResult (row: AttemptStarted, result: AttemptResult, notice: ServerNotice | null): void {
    const { metrics, push } = this.options
    metrics.attempts.inc({ result: result.kind })
    if (notice?.isLeaving === true) metrics.serverNotices.inc({ kind: 'leaving' })
    if (notice !== null && notice.pauseMs !== null) metrics.serverNotices.inc({ kind: 'pause' })
    push({ kind: 'attempt', exchange: row.exchange, attempt: row.attempt, result, notice: notice === null ? null : { ...notice, backend: row.backend, epoch: row.epoch } })
  }

  /** Relays the response of an attempt to the caller. */
  relay (id: ExchangeId, attempt: AttemptId): void {
    const exchange = this.exchanges.findExchange(id)
    const backendResponse = exchange?.running?.attempt === attempt ? exchange.running.backendResponse : null
    if (exchange === undefined || backendResponse === null) return
    this.#guard(exchange, async () => { await this.#streamResponse(exchange, attempt, backendResponse) })
  }

  async #streamResponse (exchange: CallerExchange, attempt: AttemptId, backendResponse: BackendResponse): Promise<void> {
    const headers = this.options.protocol.responseHeaders(backendResponse.headers)
    if (this.exchanges.mustClose(exchange)) headers.connection = 'close'
    const result = await relayResponse(exchange.response, backendResponse, headers, exchange.running?.keepsAnswer === true)
    this.options.push({ kind: 'attempt', exchange: exchange.exchange, attempt, result })
  }

  /** Cancels an attempt and closes its connection. */
  abandon (id: ExchangeId, attempt: AttemptId): void {
    const exchange = this.exchanges.findExchange(id)
    if (exchange?.running?.attempt !== attempt) return
    exchange.running.handle.abort()
    exchange.running = null
  }
}

const originOf = ({ target }: AttemptStarted): string => `http://${target.address}:${target.port}`

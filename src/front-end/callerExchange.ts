/** Types of the requests of callers that a caller server is working on. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AttemptId, ExchangeId } from '../core/id.js'
import type { RequestTrace } from '../observability/tracing.js'
import type { BackendResponse, RunningAttempt } from './attemptClient.js'
import type { CallerConnection, ConnectionRequest } from './callerConnection.js'
import type { CallerRequest } from './callerProtocol.js'
import type { RequestBody } from './requestBody.js'

/** A request of a caller from its arrival to its response. */
export interface CallerExchange extends ConnectionRequest {
  readonly exchange: ExchangeId
  readonly connection: CallerConnection
  /** The service or authority that the caller addressed; named in traces, and in metrics if the configuration has it. */
  readonly subject: string
  readonly callerRequest: CallerRequest
  readonly request: IncomingMessage
  readonly response: ServerResponse
  /** Empty until the body has arrived. */
  body: RequestBody
  readonly trace: RequestTrace | null
  readonly receivedAt: number
  /** Whether the request has been handed to the tick. */
  isStarted: boolean
  /** Whether its handling has failed here, by an error that was contained. */
  hasFailed: boolean
  running: { attempt: AttemptId, handle: RunningAttempt, backendResponse: BackendResponse | null, keepsAnswer: boolean } | null
}

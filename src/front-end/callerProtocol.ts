/** Interface of an HTTP protocol towards callers and backend servers; `CallerServer` implements what all have in common. */

import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import type { ReportedLoad } from '../announcement/types.js'
import type { ServerNotice } from '../server-notice/types.js'
import type { AttemptStarted, RequestRefused, RequestTarget } from '../exchange/types.js'
import type { LookupAnswered, LookupReceived } from '../lookup/types.js'

/** A caller's request for a backend server, parsed by its protocol. */
export interface CallerRequest {
  readonly kind: 'request'
  readonly target: RequestTarget
  /** The path and query that are sent to the backend server. */
  readonly path: string
  /** The API key in plain text; it must not leave the front end. */
  readonly key: string | null
  readonly timeoutMs: number | null
  readonly affinity: string | null
  readonly idempotencyKey: string | null
  /** The request id that the caller sent, used as the exchange id in logs; null when it sent none. */
  readonly requestId: string | null
}

/** An HTTP request of a caller after parsing. */
export type ParsedRequest =
  | CallerRequest
  | { readonly kind: 'lookup', readonly query: Pick<LookupReceived, 'service' | 'client' | 'place'> }
  | { readonly kind: 'malformed', readonly status: number, readonly reason: string }

/** Status and headers of a backend server's response. */
export interface ResponseHead { readonly statusCode: number, readonly headers: IncomingHttpHeaders }

/** Class of a response: it belongs to the attempt, the request was not run, another server replied, or it belongs to another attempt. */
export type ResponseClass = 'answer' | 'shed' | 'misdirected' | 'stray'

/** Header names in lower case with their values, as they are sent. */
export type HeaderFields = Record<string, string | string[]>

/** Adapter between an HTTP protocol and the types of the product. */
export interface CallerProtocol {
  /** Header by which a backend server's response names its request, and whether every server sends it. Connections are kept only to servers that do. */
  readonly attemptName: { readonly header: string, readonly isAlwaysSent: boolean }
  parseRequest (request: IncomingMessage): ParsedRequest
  /** Returns the headers of an attempt, without the caller's key. */
  attemptHeaders (request: IncomingMessage, parsed: CallerRequest, attempt: AttemptStarted): HeaderFields
  classifyResponse (request: IncomingMessage, head: ResponseHead, attempt: AttemptStarted): ResponseClass
  /** Returns the load that a response reports; null when it reports none. */
  readLoad (headers: IncomingHttpHeaders): ReportedLoad | null
  /** Returns what a server says about itself beside its answer; null if nothing. */
  readNotice (head: ResponseHead): ServerNotice | null
  /** Returns the headers of the response to the caller. */
  responseHeaders (headers: IncomingHttpHeaders): HeaderFields
  /** Sets headers on the response to an accepted request, before the response is sent. */
  prepareResponse (response: ServerResponse, exchange: string): void
  /** Sends a refusal, and closes the connection after it where `shouldClose` is set. */
  refuse (request: IncomingMessage, response: ServerResponse, refusal: RequestRefused, shouldClose: boolean): void
  /** Sends the result of a look-up. */
  answerLookup (response: ServerResponse, result: LookupAnswered): void
}

/** How callers and backend servers are spoken to over HTTP; the server of callers keeps what all ways have in common. */

import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'
import type { ReportedLoad } from '../announcement/types.js'
import type { AttemptStarted, RequestRefused, RequestTarget } from '../exchange/types.js'
import type { LookupAnswered, LookupReceived } from '../lookup/types.js'

/** A request of a caller as its dialect reads it. */
export interface CallerRequest {
  readonly kind: 'request'
  readonly target: RequestTarget
  /** The path as it goes on to a backend server. */
  readonly path: string
  /** The key itself; it never leaves the front end. */
  readonly key: string | null
  readonly timeoutMs: number | null
  readonly affinity: string | null
  readonly idempotencyKey: string | null
  /** The caller's own name for this request, under which decisions about it are logged; null when it has none. */
  readonly requestId: string | null
}

/** What a caller asks for. */
export type CallerQuestion =
  | CallerRequest
  | { readonly kind: 'lookup', readonly question: Pick<LookupReceived, 'service' | 'client' | 'place'> }
  | { readonly kind: 'malformed', readonly status: number, readonly reason: string }

/** The head of a backend server's answer. */
export interface AnswerHead { readonly statusCode: number, readonly headers: IncomingHttpHeaders }

/** What an answer proves: that it is one, that the server did not run the request, or that it belongs to something else. */
export type AnswerVerdict = 'answer' | 'shed' | 'misdirected' | 'stray'

/** Headers as they are written. */
export type HeaderFields = Record<string, string | string[]>

/** One way to speak with callers and backend servers. */
export interface CallerDialect {
  read (request: IncomingMessage): CallerQuestion
  /** Headers of an attempt; never with the caller's key. */
  attemptHeaders (request: IncomingMessage, question: CallerRequest, attempt: AttemptStarted): HeaderFields
  judge (request: IncomingMessage, head: AnswerHead): AnswerVerdict
  readLoad (headers: IncomingHttpHeaders): ReportedLoad | null
  answerHeaders (headers: IncomingHttpHeaders): HeaderFields
  /** Prepares an answer as soon as its request is known. */
  announce (response: ServerResponse, exchange: string): void
  refuse (request: IncomingMessage, response: ServerResponse, refusal: RequestRefused, closes: boolean): void
  answerLookup (response: ServerResponse, answer: LookupAnswered): void
}

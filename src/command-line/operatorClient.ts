/**
 * HTTP client for operators' commands. Tries the control hosts until the leader answers. A resend with the same request id
 * returns the first outcome.
 */

import { readFileSync } from 'node:fs'
import { request } from 'undici'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'

/** The reason why an operator's call failed. */
export type CallError =
  | { readonly kind: 'token-unreadable', readonly path: string }
  | { readonly kind: 'refused', readonly status: number, readonly detail: unknown }
  | { readonly kind: 'unreachable', readonly detail: string }

/** The control hosts to call, as HOST:PORT, and the operator's token. */
export interface CallTarget {
  readonly controlAddresses: readonly string[]
  readonly token: string
}

const MAX_ROUNDS = 20
const ROUND_PAUSE_MS = 500
const CALL_TIMEOUT_MS = 10_000
const STATUS_NOT_LEADER = 421
const STATUS_OUTCOME_UNKNOWN = 504

/** Reads a token from a file, so that it does not appear on the command line. */
export const readToken = (path: string): Outcome<string, CallError> => {
  try {
    return ok(readFileSync(path, 'utf8').trim())
  } catch {
    return fail({ kind: 'token-unreadable', path })
  }
}

interface CallResponse { readonly status: number, readonly body: unknown }

const callOnce = async (target: CallTarget, control: string, method: 'GET' | 'POST', path: string, body: unknown, requestId: string): Promise<CallResponse | string> => {
  try {
    const response = await request(`http://${control}${path}`, {
      method,
      headers: { authorization: `Bearer ${target.token}`, 'request-id': requestId, 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      headersTimeout: CALL_TIMEOUT_MS,
      bodyTimeout: CALL_TIMEOUT_MS
    })
    return { status: response.statusCode, body: await response.body.json() }
  } catch (error) {
    return error instanceof Error ? error.message : 'no connection'
  }
}

const isFinal = (response: CallResponse): boolean => response.status !== STATUS_NOT_LEADER && response.status !== STATUS_OUTCOME_UNKNOWN

/** Calls the control hosts in turn until one returns a final response, for at most 20 rounds with pauses of 500 ms. */
export const callControl = async (target: CallTarget, method: 'GET' | 'POST', path: string, body: unknown, requestId: string): Promise<Outcome<unknown, CallError>> => {
  let lastProblem = 'no control host was specified'
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    for (const control of target.controlAddresses) {
      const response = await callOnce(target, control, method, path, body, requestId)
      if (typeof response === 'string') lastProblem = `${control}: ${response}`
      else if (isFinal(response)) return response.status === 200 ? ok(response.body) : fail({ kind: 'refused', status: response.status, detail: response.body })
      else lastProblem = `${control}: ${response.status === STATUS_NOT_LEADER ? 'not the leader' : 'outcome unknown'}`
    }
    await new Promise(resolve => setTimeout(resolve, ROUND_PAUSE_MS))
  }
  return fail({ kind: 'unreachable', detail: lastProblem })
}

/** Formats an error as one line. */
export const describeCallError = (error: CallError): string => {
  switch (error.kind) {
    case 'token-unreadable': return `cannot read the token file ${error.path}`
    case 'refused': return `refused (${error.status}): ${JSON.stringify(error.detail)}`
    case 'unreachable': return `no control host returned an outcome; resend with the same --request-id: ${error.detail}`
  }
}

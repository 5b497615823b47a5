/** Sends operators' commands to whichever control host leads; a resend with the same request id returns the first outcome. */

import { readFileSync } from 'node:fs'
import { request } from 'undici'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'

/** Why an operator's call has no good answer. */
export type CallError =
  | { readonly kind: 'token-unreadable', readonly path: string }
  | { readonly kind: 'refused', readonly status: number, readonly detail: unknown }
  | { readonly kind: 'unreachable', readonly detail: string }

/** Where and as whom to call. */
export interface CallTarget {
  readonly controlAddresses: readonly string[]
  readonly token: string
}

const ROUNDS = 20
const ROUND_PAUSE_MS = 500
const CALL_TIMEOUT_MS = 10_000
const NOT_LEADER = 421
const OUTCOME_UNKNOWN = 504

/** Reads a token from a file, so that it is never on a command line. */
export const readToken = (path: string): Outcome<string, CallError> => {
  try {
    return ok(readFileSync(path, 'utf8').trim())
  } catch {
    return fail({ kind: 'token-unreadable', path })
  }
}

interface Reply { readonly status: number, readonly body: unknown }

const callOnce = async (target: CallTarget, control: string, method: 'GET' | 'POST', path: string, body: unknown, requestId: string): Promise<Reply | string> => {
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

const isFinal = (reply: Reply): boolean => reply.status !== NOT_LEADER && reply.status !== OUTCOME_UNKNOWN

/** Calls until one control host gives a final answer, or for ten seconds. */
export const callControl = async (target: CallTarget, method: 'GET' | 'POST', path: string, body: unknown, requestId: string): Promise<Outcome<unknown, CallError>> => {
  let problem = 'no control host given'
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const control of target.controlAddresses) {
      const reply = await callOnce(target, control, method, path, body, requestId)
      if (typeof reply === 'string') problem = `${control}: ${reply}`
      else if (isFinal(reply)) return reply.status === 200 ? ok(reply.body) : fail({ kind: 'refused', status: reply.status, detail: reply.body })
      else problem = `${control}: ${reply.status === NOT_LEADER ? 'does not lead' : 'outcome unknown'}`
    }
    await new Promise(resolve => setTimeout(resolve, ROUND_PAUSE_MS))
  }
  return fail({ kind: 'unreachable', detail: problem })
}

/** An error as one line for a person. */
export const describeCallError = (error: CallError): string => {
  switch (error.kind) {
    case 'token-unreadable': return `cannot read the token file ${error.path}`
    case 'refused': return `refused (${error.status}): ${JSON.stringify(error.detail)}`
    case 'unreachable': return `no control host gave an outcome, resend with the same --request-id: ${error.detail}`
  }
}

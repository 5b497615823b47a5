/** HTTP calls that wait for the outcome of a proposal or read. */

import { randomUUID } from 'node:crypto'
import type { ServerResponse } from 'node:http'
import { toId } from '../core/id.js'
import type { CallId } from '../replicated-log/types.js'

/** A call whose HTTP response is still open. */
export interface PendingCall {
  readonly response: ServerResponse
  readonly url: string
}

/** Pending calls by id, each with a timeout. */
export class PendingCalls {
  readonly #calls = new Map<CallId, PendingCall & { readonly timer: NodeJS.Timeout }>()

  /** After `timeoutMs` without an outcome, `onTimeout` is called; it must deliver an outcome for the call, which removes it. */
  constructor (readonly timeoutMs: number, readonly onTimeout: (call: CallId) => void) {}

  /** Registers a call and returns its new id. A call whose connection closes is removed. */
  add (response: ServerResponse, url: string): CallId {
    const call = toId<CallId>(randomUUID())
    const timer = setTimeout(() => { this.onTimeout(call) }, this.timeoutMs)
    this.#calls.set(call, { response, url, timer })
    response.once('close', () => { this.take(call) })
    return call
  }

  /** Removes and returns a call; undefined when it has been answered already. */
  take (call: CallId): PendingCall | undefined {
    const row = this.#calls.get(call)
    if (row === undefined) return undefined
    this.#calls.delete(call)
    clearTimeout(row.timer)
    return row
  }
}

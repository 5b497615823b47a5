/** Calls of operators that wait for an outcome. */

import { randomUUID } from 'node:crypto'
import type { ServerResponse } from 'node:http'
import { toId } from '../core/id.js'
import type { CallId } from '../replicated-log/types.js'

/** A call whose connection waits for its answer. */
export interface PendingCall {
  readonly response: ServerResponse
  readonly url: string
}

/** Open calls by id; one without an outcome ends after a time. */
export class PendingCalls {
  readonly #calls = new Map<CallId, PendingCall & { readonly timer: NodeJS.Timeout }>()

  /** The outcome of an overdue call goes the way of every other outcome. */
  constructor (readonly timeoutMs: number, readonly onTimeout: (call: CallId) => void) {}

  add (response: ServerResponse, url: string): CallId {
    const call = toId<CallId>(randomUUID())
    const timer = setTimeout(() => { this.onTimeout(call) }, this.timeoutMs)
    this.#calls.set(call, { response, url, timer })
    return call
  }

  /** Takes a call out; undefined when it has been answered. */
  take (call: CallId): PendingCall | undefined {
    const row = this.#calls.get(call)
    if (row === undefined) return undefined
    this.#calls.delete(call)
    clearTimeout(row.timer)
    return row
  }
}

/** Containment of errors: what the handler of an input throws costs that input, never the process. */

import { STATUS_CODES } from 'node:http'
import type { ServerResponse } from 'node:http'

const INTERNAL_SERVER_ERROR = 500
const FAILURE_BODY = JSON.stringify({ error: { reason: 'internal-error' } })

/** Records the errors of handlers. `listener` is the purpose of the listener or link that got the input. */
export interface FaultLog { record (listener: string, error: unknown): void }

/** Runs an action. What it throws, at once or as a rejected promise, goes to `onFault`. */
export const contain = (action: () => unknown, onFault: (error: unknown) => void): void => {
  try {
    const result = action()
    if (result instanceof Promise) result.catch(onFault)
  } catch (error) {
    onFault(error)
  }
}

/** Ends a request whose handler failed: with status 500, or by closing its connection if the head was sent. Neither says whether it ran. */
export const failResponse = (response: ServerResponse): void => {
  if (response.writableEnded || response.destroyed) return
  if (response.headersSent) {
    response.destroy()
    return
  }
  for (const name of response.getHeaderNames()) response.removeHeader(name)
  response.writeHead(INTERNAL_SERVER_ERROR, STATUS_CODES[INTERNAL_SERVER_ERROR], { 'content-type': 'application/json', 'content-length': FAILURE_BODY.length })
  response.end(FAILURE_BODY)
}

/** Runs a step of the handling of a request. If it fails, records the error and ends the request. */
export const guardResponse = (faults: FaultLog, listener: string, response: ServerResponse, step: () => unknown): void => {
  contain(step, error => {
    faults.record(listener, error)
    failResponse(response)
  })
}

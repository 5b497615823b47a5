/** Helpers for small JSON bodies. */

import type { ServerResponse } from 'node:http'
import type { z } from 'zod'

/** Parses JSON; undefined when the text is invalid. */
export const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return undefined
  }
}

/** Formats the first issue of a schema error as `PATH: MESSAGE`. */
export const firstIssue = (error: z.ZodError): string => {
  const issue = error.issues[0]
  return `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`
}

/** Sends a JSON response, unless the connection is closed already. */
export const sendJson = (response: ServerResponse, status: number, body: unknown, shouldClose = false): void => {
  if (response.destroyed) return
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...(shouldClose ? { connection: 'close' } : {}) })
  response.end(text)
}

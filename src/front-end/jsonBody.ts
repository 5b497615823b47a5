/** Helpers for small JSON bodies. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { z } from 'zod'

/** Reads a body as text; undefined when it is longer than `limit` bytes or incomplete. */
export const readText = async (request: IncomingMessage, limit: number): Promise<string | undefined> => {
  const chunks: Buffer[] = []
  let total = 0
  try {
    for await (const chunk of request) {
      const bytes = chunk as Buffer
      total += bytes.length
      if (total > limit) return undefined
      chunks.push(bytes)
    }
  } catch {
    return undefined
  }
  return request.complete ? Buffer.concat(chunks).toString('utf8') : undefined
}

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

/** Reads a body as JSON; undefined when it is longer than `limit` bytes, incomplete or invalid. */
export const readJson = async (request: IncomingMessage, limit: number): Promise<unknown> => {
  const text = await readText(request, limit)
  return text === undefined ? undefined : parseJson(text)
}

/** Sends a JSON response, unless the connection is closed already. */
export const sendJson = (response: ServerResponse, status: number, body: unknown, shouldClose = false): void => {
  if (response.destroyed) return
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...(shouldClose ? { connection: 'close' } : {}) })
  response.end(text)
}

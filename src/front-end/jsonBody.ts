/** Reads and writes small JSON bodies. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { z } from 'zod'

/** A body's text; undefined when it is too large or cut. */
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

/** Parses JSON; undefined when it is none. */
export const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return undefined
  }
}

/** The first problem of a body that does not have its schema, with its path. */
export const firstIssue = (error: z.ZodError): string => {
  const issue = error.issues[0]
  return `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`
}

/** A request's address as a URL; null when it is none. */
export const parseUrl = (request: IncomingMessage): URL | null => {
  const text = request.url ?? ''
  return URL.canParse(text, 'http://localhost') ? new URL(text, 'http://localhost') : null
}

/** The parsed body; undefined when it is too large, cut or no JSON. */
export const readJson = async (request: IncomingMessage, limit: number): Promise<unknown> => {
  const text = await readText(request, limit)
  return text === undefined ? undefined : parseJson(text)
}

/** Sends a JSON answer. */
export const sendJson = (response: ServerResponse, status: number, body: unknown, close = false): void => {
  if (response.destroyed) return
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...(close ? { connection: 'close' } : {}) })
  response.end(text)
}

/** The URL of an HTTP request, which may be any text. */

import type { IncomingMessage } from 'node:http'

const BASE = 'http://localhost'

/** Parses a request's URL; null when it is invalid. */
export const parseUrl = (request: IncomingMessage): URL | null => {
  const text = request.url ?? ''
  return URL.canParse(text, BASE) ? new URL(text, BASE) : null
}

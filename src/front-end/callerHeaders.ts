/** Header rules between callers and backend servers. */

import type { IncomingHttpHeaders } from 'node:http'

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])
/** Headers that only the system sets. */
const OWN_PREFIX = 'rhubarbseam-'
const KEY_HEADERS: ReadonlySet<string> = new Set(['authorization', 'x-api-key'])

const namedByConnection = (headers: IncomingHttpHeaders): ReadonlySet<string> => {
  const value = headers.connection
  return new Set((value ?? '').split(',').map(name => name.trim().toLowerCase()))
}

/** The key of a caller, from `Authorization: Bearer KEY`. */
export const findKey = (headers: IncomingHttpHeaders): string | null => {
  const match = /^Bearer ([\x21-\x7e]{1,512})$/i.exec(headers.authorization ?? '')
  return match?.[1] ?? null
}

const REDACTED = 'redacted'

/** Replaces a key wherever a caller may have put it besides its own header. */
export const redactKey = (text: string, key: string | null): string => {
  if (key === null) return text
  let clean = text.replaceAll(key, REDACTED)
  const encoded = encodeURIComponent(key)
  if (encoded !== key) clean = clean.replaceAll(encoded, REDACTED)
  return clean
}

/** Headers of a request as they go on to a backend server: no key, nothing hop by hop, nothing in the system's own name. */
export const forwardRequestHeaders = (headers: IncomingHttpHeaders, key: string | null): Record<string, string | string[]> => {
  const dropped = namedByConnection(headers)
  const forwarded: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name) || KEY_HEADERS.has(name) || dropped.has(name) || name.startsWith(OWN_PREFIX)) continue
    forwarded[name] = Array.isArray(value) ? value.map(one => redactKey(one, key)) : redactKey(value, key)
  }
  return forwarded
}

/** Headers that concern more than one connection, without those that are named. */
export const forwardEndToEnd = (headers: IncomingHttpHeaders, left: ReadonlySet<string>): Record<string, string | string[]> => {
  const dropped = headers.connection === undefined ? left : namedByConnection(headers)
  const forwarded: Record<string, string | string[]> = {}
  for (const name in headers) {
    const value = headers[name]
    if (value === undefined || HOP_BY_HOP.has(name) || left.has(name) || dropped.has(name)) continue
    forwarded[name] = value
  }
  return forwarded
}

/** Headers of an answer as they go back to the caller. */
export const forwardAnswerHeaders = (headers: IncomingHttpHeaders): Record<string, string | string[]> => {
  const dropped = namedByConnection(headers)
  const forwarded: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name) || dropped.has(name) || name.startsWith(OWN_PREFIX)) continue
    forwarded[name] = value
  }
  return forwarded
}

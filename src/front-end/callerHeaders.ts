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
export const forwardEndToEndHeaders = (headers: IncomingHttpHeaders, left: ReadonlySet<string>): Record<string, string | string[]> => {
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
export const forwardResponseHeaders = (headers: IncomingHttpHeaders): Record<string, string | string[]> => {
  const dropped = namedByConnection(headers)
  const forwarded: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name) || dropped.has(name) || name.startsWith(OWN_PREFIX)) continue
    forwarded[name] = value
  }
  return forwarded
}

/** A header that came once and is not empty; null otherwise. */
export const singleValueOf = (value: string | string[] | undefined): string | null =>
  typeof value === 'string' && value !== '' ? value : null

/** A number above 0; null for anything else. */
export const parsePositiveNumber = (text: string | null): number | null => {
  const value = Number(text)
  return text === null || !Number.isFinite(value) || value <= 0 ? null : value
}

/** The value of a cookie; null when it is not there. */
export const findCookie = (header: string | undefined, name: string): string | null => {
  for (const pair of (header ?? '').split(';')) {
    const [key, value] = pair.trim().split('=', 2)
    if (key === name && value !== undefined && value !== '') return value
  }
  return null
}

/** The authority that a request names, in lower case and without a port. */
export const authorityOf = (headers: IncomingHttpHeaders): string => (headers.host ?? '').replace(/:\d+$/, '').toLowerCase()

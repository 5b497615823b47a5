/** Rules for forwarding headers between callers and backend servers. */

import type { IncomingHttpHeaders } from 'node:http'
import type { ReportedLoad } from '../announcement/types.js'

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])
/** Prefix of headers that only the product sets; they are dropped from incoming messages. */
const RESERVED_PREFIX = 'rhubarbseam-'
const KEY_HEADERS: ReadonlySet<string> = new Set(['authorization', 'x-api-key'])

// The lines of a header that was sent more than once, in one list.
const listOf = (value: string | string[] | undefined): string => Array.isArray(value) ? value.join(',') : value ?? ''

const connectionOptions = ({ connection }: Record<string, string | string[] | undefined>): ReadonlySet<string> =>
  new Set(listOf(connection).split(',').map(name => name.trim().toLowerCase()))

/** Returns the caller's API key from `Authorization: Bearer KEY`; null when there is none. */
export const findKey = (headers: IncomingHttpHeaders): string | null => {
  const match = /^Bearer ([\x21-\x7e]{1,512})$/i.exec(headers.authorization ?? '')
  return match?.[1] ?? null
}

const REDACTED = 'redacted'

/** Replaces each occurrence of the key in a path or header value, plain or URL-encoded: callers may send it outside its own header. */
export const redactKey = (text: string, key: string | null): string => {
  if (key === null) return text
  let redacted = text.replaceAll(key, REDACTED)
  const encoded = encodeURIComponent(key)
  if (encoded !== key) redacted = redacted.replaceAll(encoded, REDACTED)
  return redacted
}

/** Returns the request headers for a backend server, without the key, hop-by-hop headers and the product's own headers. */
export const forwardRequestHeaders = (headers: IncomingHttpHeaders, key: string | null): Record<string, string | string[]> => {
  const dropped = connectionOptions(headers)
  const forwarded: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name) || KEY_HEADERS.has(name) || dropped.has(name) || name.startsWith(RESERVED_PREFIX)) continue
    forwarded[name] = Array.isArray(value) ? value.map(item => redactKey(item, key)) : redactKey(value, key)
  }
  return forwarded
}

/** Returns all headers but the hop-by-hop ones and those in `excluded`. */
export const forwardEndToEndHeaders = (headers: IncomingHttpHeaders, excluded: ReadonlySet<string>): Record<string, string | string[]> => {
  const dropped = headers.connection === undefined ? excluded : connectionOptions(headers)
  const forwarded: Record<string, string | string[]> = {}
  for (const name in headers) {
    const value = headers[name]
    if (value === undefined || HOP_BY_HOP.has(name) || excluded.has(name) || dropped.has(name)) continue
    forwarded[name] = value
  }
  return forwarded
}

/** Returns the response headers for the caller, without hop-by-hop headers and the product's own headers. */
export const forwardResponseHeaders = (headers: IncomingHttpHeaders): Record<string, string | string[]> => {
  const dropped = connectionOptions(headers)
  const forwarded: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP.has(name) || dropped.has(name) || name.startsWith(RESERVED_PREFIX)) continue
    forwarded[name] = value
  }
  return forwarded
}

/** Returns the value of a header that is present once and is not empty; null otherwise. */
export const singleValueOf = (value: string | string[] | undefined): string | null =>
  typeof value === 'string' && value !== '' ? value : null

/** Parses a number above 0; null for anything else. */
export const parsePositiveNumber = (text: string | null): number | null => {
  const value = Number(text)
  return text === null || !Number.isFinite(value) || value <= 0 ? null : value
}

const LOAD_VALUE_COUNT = 3
/** More requests or slots than any server has. */
const MAX_LOAD_VALUE = 1_000_000

/** Parses a load of the form `RUNNING,WAITING,SLOTS`; null for anything else. */
export const parseLoad = (text: string | null): ReportedLoad | null => {
  const values = (text ?? '').split(',').map(Number)
  const [running, waiting, slots] = values
  if (values.length !== LOAD_VALUE_COUNT || running === undefined || waiting === undefined || slots === undefined) return null
  return values.every(value => value >= 0 && value <= MAX_LOAD_VALUE) ? { running, waiting, slots } : null
}

/** Returns the value of a cookie; null when it is absent or empty. */
export const findCookie = (header: string | undefined, name: string): string | null => {
  for (const pair of (header ?? '').split(';')) {
    const [key, value] = pair.trim().split('=', 2)
    if (key === name && value !== undefined && value !== '') return value
  }
  return null
}

/** Returns the host name of the `Host` header, in lower case and without the port. */
export const authorityOf = (headers: IncomingHttpHeaders): string => (headers.host ?? '').replace(/:\d+$/, '').toLowerCase()

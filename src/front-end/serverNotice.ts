/** Reads notices from the headers of a backend server's response. */

import type { Millis } from '../core/tick.js'
import type { ServerNotice } from '../server-notice/types.js'
import type { ResponseHead } from './callerProtocol.js'

const SERVICE_UNAVAILABLE = 503
const MS_PER_SECOND = 1_000
/** Longest pause that is told apart from an endless one. */
const MAX_PAUSE_MS = Number.MAX_SAFE_INTEGER
const SECONDS = /^\d+(\.\d+)?$/

/**
 * Parses `Retry-After` in seconds, with fractions. Of several values the longest counts. Null for anything else: a negative number,
 * a date, text.
 */
export const parsePause = (value: string | string[] | undefined): Millis | null => {
  let longestMs: Millis | null = null
  for (const text of [value ?? []].flat().flatMap(line => line.split(','))) {
    if (!SECONDS.test(text.trim())) continue
    longestMs = Math.max(longestMs ?? 0, Math.min(MAX_PAUSE_MS, Number(text) * MS_PER_SECOND))
  }
  return longestMs
}

/** Reads the notice of a response; null if it has none. `leavingHeader` is the header of a server that leaves, which it sets to 1. */
export const readServerNotice = ({ statusCode, headers }: ResponseHead, leavingHeader: string): ServerNotice | null => {
  const leaving = headers[leavingHeader]
  const isLeaving = leaving !== undefined && leaving !== '0'
  const pauseMs = statusCode === SERVICE_UNAVAILABLE ? parsePause(headers['retry-after']) : null
  return isLeaving || pauseMs !== null ? { isLeaving, pauseMs } : null
}

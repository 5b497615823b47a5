/** Finds the request that crashes servers among the innocents that ran beside it. */

import { createHash } from 'node:crypto'
import { toId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { ExchangeRow } from '../exchange/types.js'
import type { Suspicion, SuspicionRow, SuspicionTables, SuspectId } from './types.js'

/** Lost servers after which a request is refused everywhere. */
export const CRASH_LIMIT = 3
/** How long a suspicion is remembered. */
export const SUSPICION_RETENTION_MS: Millis = 600_000
/** Ends of an attempt that look like a crash; a silent connection or a deadline does not. */
const CRASH_REASONS: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET'])

/** Whether the way an attempt was lost looks like a crash of its server. */
export const looksLikeCrash = (reason: string): boolean => CRASH_REASONS.has(reason)

/** The suspect that an exchange is. */
export const suspectIdOf = (request: Pick<ExchangeRow, 'service' | 'workspace' | 'fingerprint'>): SuspectId =>
  toId<SuspectId>(createHash('sha256').update(`${request.service}\n${request.workspace ?? ''}\n${request.fingerprint}`).digest('base64url'))

const union = (a: readonly string[], b: readonly string[]): string[] => [...new Set([...a, ...b])].sort()

/** Crashes that nothing has explained away. */
export const countUnclearedCrashes = (tables: SuspicionTables, suspect: SuspectId): number => {
  const suspicion = tables.suspicions.get(suspect)?.suspicion
  if (suspicion === undefined) return 0
  return suspicion.crashes.filter(crash => !suspicion.cleared.includes(crash)).length
}

/** Merges what another host, or this one, has learned; the new row when it was news. */
export const mergeSuspicion = (tables: SuspicionTables, news: Suspicion, now: Millis): SuspicionRow | null => {
  expireSuspicions(tables, now)
  const known = tables.suspicions.get(news.suspect)?.suspicion
  const crashes = union(known?.crashes ?? [], news.crashes)
  const cleared = union(known?.cleared ?? [], news.cleared)
  if (known !== undefined && crashes.length === known.crashes.length && cleared.length === known.cleared.length) return null
  const row: SuspicionRow = { suspicion: { suspect: news.suspect, crashes, cleared }, expiresAt: now + SUSPICION_RETENTION_MS }
  tables.suspicions.remove(news.suspect)
  tables.suspicions.put(row)
  return row
}

const expireSuspicions = (tables: SuspicionTables, now: Millis): void => {
  for (let oldest = tables.suspicions.first(); oldest !== undefined && oldest.expiresAt <= now; oldest = tables.suspicions.first()) {
    tables.suspicions.remove(oldest.suspicion.suspect)
  }
}

/** Identifies requests that crash servers, among the requests that ran on the same servers. */

import { createHash } from 'node:crypto'
import { toId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { ExchangeRow } from '../exchange/types.js'
import { MAX_CRASHES } from './types.js'
import type { Suspicion, SuspicionRow, SuspicionTables, SuspectId } from './types.js'

/** Number of crashes after which a request is refused on all hosts. */
export const CRASH_LIMIT = 3
/** Time for which a suspicion is kept after its last change. */
export const SUSPICION_RETENTION_MS: Millis = 600_000
/** Error codes that indicate a crash. Timeouts do not. */
const CRASH_REASONS: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET'])

/** Returns whether the error code of a lost attempt indicates a crash of the server. */
export const looksLikeCrash = (reason: string): boolean => CRASH_REASONS.has(reason)

/** Returns the suspect id of a request: a digest of its service, workspace and fingerprint. */
export const suspectIdOf = (request: Pick<ExchangeRow, 'service' | 'workspace' | 'fingerprint'>): SuspectId =>
  toId<SuspectId>(createHash('sha256').update(`${request.service}\n${request.workspace ?? ''}\n${request.fingerprint}`).digest('base64url'))

const union = (a: readonly string[], b: readonly string[]): string[] => [...new Set([...a, ...b])].sort()

const isSameList = (a: readonly string[], b: readonly string[]): boolean => a.length === b.length && a.every((item, n) => item === b[n])

// Keeps the crashes that still count before those that were cleared, in an order on which all hosts agree.
const boundCrashes = (suspect: SuspectId, crashes: readonly string[], cleared: readonly string[]): Suspicion => {
  const clearedCrashes = new Set(cleared)
  const uncleared = crashes.filter(crash => !clearedCrashes.has(crash))
  const kept = [...uncleared, ...crashes.filter(crash => clearedCrashes.has(crash))].slice(0, MAX_CRASHES)
  const keptCrashes = new Set(kept)
  const keptCleared = [...cleared.filter(crash => keptCrashes.has(crash)), ...cleared.filter(crash => !keptCrashes.has(crash))].slice(0, MAX_CRASHES)
  return { suspect, crashes: kept.sort(), cleared: keptCleared.sort() }
}

/** Returns the number of crashes of a suspect that have not been cleared. */
export const countUnclearedCrashes = (tables: SuspicionTables, suspect: SuspectId): number => {
  const suspicion = tables.suspicions.get(suspect)?.suspicion
  if (suspicion === undefined) return 0
  return suspicion.crashes.filter(crash => !suspicion.cleared.includes(crash)).length
}

/** Merges a suspicion from this or another host; returns the new row, or null if nothing changed. */
export const mergeSuspicion = (tables: SuspicionTables, update: Suspicion, now: Millis): SuspicionRow | null => {
  expireSuspicions(tables, now)
  const known = tables.suspicions.get(update.suspect)?.suspicion
  const suspicion = boundCrashes(update.suspect, union(known?.crashes ?? [], update.crashes), union(known?.cleared ?? [], update.cleared))
  if (known !== undefined && isSameList(suspicion.crashes, known.crashes) && isSameList(suspicion.cleared, known.cleared)) return null
  const row: SuspicionRow = { suspicion, expiresAt: now + SUSPICION_RETENTION_MS }
  tables.suspicions.remove(update.suspect)
  tables.suspicions.put(row)
  return row
}

const expireSuspicions = (tables: SuspicionTables, now: Millis): void => {
  for (let oldest = tables.suspicions.first(); oldest !== undefined && oldest.expiresAt <= now; oldest = tables.suspicions.first()) {
    tables.suspicions.remove(oldest.suspicion.suspect)
  }
}

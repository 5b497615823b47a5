/** Policies for requests that may crash servers. */

import type { BackendRow } from '../announcement/types.js'
import type { Millis } from '../core/tick.js'
import type { ExchangeRow } from '../exchange/types.js'
import { CRASH_LIMIT, mergeSuspicion, countUnclearedCrashes, suspectIdOf } from './suspicion.js'
import type { Suspicion, SuspicionTables } from './types.js'

/** Verdict on a request. A suspect runs alone on a server; a condemned request is refused. */
export type Verdict = 'innocent' | 'suspect' | 'condemned'

/** Judges requests, and updates suspicions from the results of attempts. The methods return a changed suspicion, to be spread to other hosts, or null. */
export interface SuspicionPolicy {
  readonly name: string
  judge (tables: SuspicionTables, request: Pick<ExchangeRow, 'service' | 'workspace' | 'fingerprint'>): Verdict
  recordCrash (tables: SuspicionTables, exchange: ExchangeRow, backend: BackendRow, now: Millis): Suspicion | null
  recordCompletion (tables: SuspicionTables, exchange: ExchangeRow, now: Millis): Suspicion | null
}

/** Baseline: treats every request as innocent. */
export class NoSuspicion implements SuspicionPolicy {
  readonly name = 'none'

  judge (): Verdict { return 'innocent' }

  recordCrash (): null { return null }

  recordCompletion (): null { return null }
}

/** Counts the crashes of each request over the whole fleet. A complete run clears a suspect. */
export class SharedSuspicion implements SuspicionPolicy {
  readonly name = 'shared'

  judge (tables: SuspicionTables, request: Pick<ExchangeRow, 'service' | 'workspace' | 'fingerprint'>): Verdict {
    if (tables.suspicions.size === 0) return 'innocent'
    const crashes = countUnclearedCrashes(tables, suspectIdOf(request))
    if (crashes >= CRASH_LIMIT) return 'condemned'
    return crashes > 0 ? 'suspect' : 'innocent'
  }

  recordCrash (tables: SuspicionTables, exchange: ExchangeRow, backend: BackendRow, now: Millis): Suspicion | null {
    const crash = `${backend.key}@${backend.announcement.epoch}`
    return mergeSuspicion(tables, { suspect: suspectIdOf(exchange), crashes: [crash], cleared: [] }, now)?.suspicion ?? null
  }

  recordCompletion (tables: SuspicionTables, exchange: ExchangeRow, now: Millis): Suspicion | null {
    if (tables.suspicions.size === 0) return null
    const known = tables.suspicions.get(suspectIdOf(exchange))?.suspicion
    if (known === undefined) return null
    return mergeSuspicion(tables, { ...known, cleared: known.crashes }, now)?.suspicion ?? null
  }
}

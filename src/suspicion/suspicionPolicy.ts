/** Ways to deal with requests that may crash servers. */

import type { BackendRow } from '../announcement/types.js'
import type { Millis } from '../core/tick.js'
import type { ExchangeRow } from '../exchange/types.js'
import { CRASH_LIMIT, mergeSuspicion, countUnclearedCrashes, suspectIdOf } from './suspicion.js'
import type { Suspicion, SuspicionTables } from './types.js'

/** What is known against a request. */
export type Verdict = 'innocent' | 'suspect' | 'condemned'

/** Judges requests and learns from how their attempts end; what is returned is news for other hosts. */
export interface SuspicionPolicy {
  readonly name: string
  judge (tables: SuspicionTables, request: Pick<ExchangeRow, 'service' | 'workspace' | 'fingerprint'>): Verdict
  recordCrash (tables: SuspicionTables, exchange: ExchangeRow, backend: BackendRow, now: Millis): Suspicion | null
  recordCompletion (tables: SuspicionTables, exchange: ExchangeRow, now: Millis): Suspicion | null
}

/** The baseline: every request is taken for innocent. */
export class NoSuspicion implements SuspicionPolicy {
  readonly name = 'none'

  judge (): Verdict { return 'innocent' }

  recordCrash (): null { return null }

  recordCompletion (): null { return null }
}

/** Counts lost servers by request over the whole fleet; suspects run apart, and a run to the end clears them. */
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

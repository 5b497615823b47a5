/** HTTP status, retry delay and execution state of each refusal reason. */

import type { ExchangeId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { RankedHost } from '../lookup/types.js'
import type { Execution, RequestRefused, RefusalReason } from '../exchange/types.js'

interface RefusalDefinition {
  readonly status: number
  readonly ran: Execution
  /** When the caller may return; null if that depends on the request, or if it had better not return. */
  readonly retryAfterMs: Millis | null
}

const refusalRegistry: Readonly<Record<RefusalReason, RefusalDefinition>> = {
  'service-unknown': { status: 404, ran: 'not-run', retryAfterMs: null },
  'route-unknown': { status: 404, ran: 'not-run', retryAfterMs: null },
  'no-region': { status: 503, ran: 'not-run', retryAfterMs: null },
  'profile-not-approved': { status: 503, ran: 'not-run', retryAfterMs: null },
  'key-missing': { status: 401, ran: 'not-run', retryAfterMs: null },
  'key-unknown': { status: 401, ran: 'not-run', retryAfterMs: null },
  'key-withdrawn': { status: 401, ran: 'not-run', retryAfterMs: null },
  'configuration-not-loaded': { status: 503, ran: 'not-run', retryAfterMs: null },
  'configuration-stale': { status: 503, ran: 'not-run', retryAfterMs: null },
  'over-rate': { status: 429, ran: 'not-run', retryAfterMs: null },
  'queue-full': { status: 503, ran: 'not-run', retryAfterMs: null },
  'no-backend': { status: 503, ran: 'not-run', retryAfterMs: null },
  'service-removed': { status: 503, ran: 'not-run', retryAfterMs: 0 },
  'servers-paused': { status: 503, ran: 'not-run', retryAfterMs: null },
  'shift-capped': { status: 503, ran: 'not-run', retryAfterMs: null },
  shed: { status: 503, ran: 'not-run', retryAfterMs: null },
  overloaded: { status: 503, ran: 'not-run', retryAfterMs: null },
  deadline: { status: 504, ran: 'not-run', retryAfterMs: null },
  stopping: { status: 503, ran: 'not-run', retryAfterMs: 0 },
  'attempt-failed': { status: 502, ran: 'unknown', retryAfterMs: null },
  'outcome-unknown': { status: 502, ran: 'unknown', retryAfterMs: null },
  'earlier-outcome-unknown': { status: 409, ran: 'not-run', retryAfterMs: null },
  'idempotency-mismatch': { status: 422, ran: 'not-run', retryAfterMs: null },
  'already-running': { status: 409, ran: 'not-run', retryAfterMs: 500 },
  'crash-suspect': { status: 503, ran: 'not-run', retryAfterMs: null }
}

/** Returns a refusal. `ran` and `retryAfterMs` override the defaults of the reason. `ran` may be `not-run` only if the request provably has not run. */
export const createRefusal = (
  exchange: ExchangeId,
  reason: RefusalReason,
  options: { ran?: Execution, retryAfterMs?: Millis | undefined, alternatives?: readonly RankedHost[] } = {}
): RequestRefused => {
  const { status, ran, retryAfterMs } = refusalRegistry[reason]
  return { kind: 'refuse', exchange, status, reason, ran: options.ran ?? ran, retryAfterMs: options.retryAfterMs ?? retryAfterMs, alternatives: options.alternatives ?? [] }
}

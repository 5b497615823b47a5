/** Checks arriving requests: destination, profile, API key and constraints. Accepted requests continue to admission, or to the queue on open routes. */

import { boundedText } from '../core/boundedText.js'
import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import type { ExchangeId, ServiceId } from '../core/id.js'
import { toId } from '../core/id.js'
import { findApprovedTerms } from '../configuration/configurationTables.js'
import type { Service, Workspace } from '../configuration/types.js'
import { checkKey } from '../key-check/keyCheck.js'
import { nearEntryHosts } from '../lookup/lookupSystem.js'
import type { LookupTables } from '../lookup/lookupSystem.js'
import type { RankedHost } from '../lookup/types.js'
import type { KeyTables } from '../key-check/types.js'
import type { JournalTables } from '../journal/journal.js'
import type { SuspicionPolicy } from '../suspicion/suspicionPolicy.js'
import type { SuspicionTables } from '../suspicion/types.js'
import { findConstraints, findDestination } from './destination.js'
import type { RequestConstraints, Destination } from './destination.js'
import { journalRefusal } from './refusalJournal.js'
import { isServing } from './lifecycle.js'
import { drawReturn, spreadOver } from './returnTime.js'
import type { ReturnWindow } from './returnTime.js'
import { CONFIRMATION_OVERDUE_MS } from '../gossip/confirmationSystem.js'
import { createRefusal } from '../refusal/refusal.js'
import type { CallerLeft, ExchangeRow, ExchangeTables, RefusalReason, RequestDeferred, RequestRefused, RequestReceived } from './types.js'

type RequestTables = ExchangeTables & LookupTables & KeyTables & SuspicionTables & JournalTables
type RequestInput = RequestReceived | CallerLeft | { readonly kind: 'other' }
type RequestOutput = RequestRefused | RequestDeferred
type RequestTick = Tick<RequestTables, RequestInput, RequestOutput>

interface AdmittedRequest { readonly workspace: Workspace | null, readonly service: Service, readonly constraints: RequestConstraints }

const checkWorkspace = (tables: RequestTables, destination: Destination, request: RequestReceived, now: Millis): Workspace | null | RefusalReason => {
  const terms = findApprovedTerms(tables.configuration, destination.service.service)
  if (terms === null) return 'profile-not-approved'
  if (destination.isOpen) return null
  const result = checkKey(tables, request.key, terms, now)
  return result.tag === 'error' ? result.error.kind : result.value
}

/** Maximum time between reading a request and deciding on it. A longer lag shows that the process lacks CPU time. */
export const MAX_DECISION_LAG_MS: Millis = 60

const isDecisionLate = ({ target, readAt, isLate }: RequestReceived, now: Millis): boolean =>
  target.kind === 'route' && (isLate === true || (typeof readAt === 'number' && now - readAt > MAX_DECISION_LAG_MS))

const deadlineOf = (request: RequestReceived, timeoutMs: Millis, now: Millis): Millis =>
  now - (request.waitedMs ?? 0) + Math.min(request.timeoutMs ?? timeoutMs, timeoutMs)

/** Age of the last confirmation from which on a newer configuration may have been acknowledged without this host's knowledge. */
const MAX_CONFIRMATION_AGE_MS: Millis = 2_000

/** Refusals for good that a newer configuration may overturn: it may have the route, the service or the key. */
const OVERTURNABLE_REASONS: ReadonlySet<RefusalReason> = new Set<RefusalReason>(['route-unknown', 'service-unknown', 'key-missing', 'key-unknown'])

// A caller that is refused for good doesn't come back, so a host that may lack the newest configuration refuses for now.
const unlessOverturned = ({ gossip }: RequestTables, reason: RefusalReason, now: Millis): RefusalReason => {
  if (!OVERTURNABLE_REASONS.has(reason)) return reason
  if (gossip.confirmedAt === null) return 'configuration-not-loaded'
  return now - gossip.confirmedAt > MAX_CONFIRMATION_AGE_MS ? 'configuration-stale' : reason
}

/** Returns the accepted request with its constraints, or the reason to refuse it. */
export const checkRequest = (tick: Pick<RequestTick, 'tables' | 'random' | 'now'>, request: RequestReceived): AdmittedRequest | RefusalReason => {
  const { tables, random, now } = tick
  if (!isServing(tables.lifecycle, now)) return 'stopping'
  if (isDecisionLate(request, now)) return 'overloaded'
  const destination = findDestination(tables.configuration, random, request)
  if (typeof destination === 'string') return unlessOverturned(tables, destination, now)
  const workspace = checkWorkspace(tables, destination, request, now)
  if (typeof workspace === 'string') return unlessOverturned(tables, workspace, now)
  const constraints = findConstraints(destination, workspace, request)
  if (typeof constraints === 'string') return constraints
  // Whoever stops this host kills it then, and a request cut off by that may not be repeated. Another host can take it now.
  if (deadlineOf(request, constraints.timeoutMs, now) > tables.lifecycle.endBy) return 'stopping'
  return { workspace, service: destination.service, constraints }
}

/** Returns other entry hosts for a caller that this host refuses. */
export const alternativeHosts = (tick: Tick<LookupTables, unknown, unknown>, service: ServiceId): readonly RankedHost[] => {
  const self = tick.tables.gossip.self.host
  return nearEntryHosts(tick.tables, tick.random, service).filter(host => host.host !== self)
}

// Refusal reasons for which another entry host may accept the request.
const HOST_SPECIFIC_REASONS: ReadonlySet<RefusalReason> = new Set<RefusalReason>(['stopping', 'configuration-not-loaded', 'configuration-stale'])

/** Time assumed of a caller that states none. */
const DEFAULT_CALLER_TIME_MS: Millis = 1_000

// A configuration is confirmed within the interval at which hosts ask for it; a host that lags has caught up after its lag.
const findReturnWindow = (request: RequestReceived, reason: RefusalReason, now: Millis): ReturnWindow | null => {
  const usefulMs = (request.timeoutMs ?? DEFAULT_CALLER_TIME_MS) - (request.waitedMs ?? 0)
  if (reason === 'configuration-not-loaded' || reason === 'configuration-stale') return { earliestMs: 0, spreadMs: CONFIRMATION_OVERDUE_MS, usefulMs }
  return reason === 'overloaded' ? spreadOver(now - (request.readAt ?? now), usefulMs) : null
}

/** Longest name of a service or authority in a configuration. */
const MAX_NAME_LENGTH = 256

/** Returns the service that a request names; its authority if it addresses a route. The journal holds it, so it is bounded. */
const requestedService = ({ target }: RequestReceived): ServiceId =>
  toId<ServiceId>(boundedText(target.kind === 'service' ? target.service : target.authority, MAX_NAME_LENGTH))

const createExchange = (request: RequestReceived, { workspace, service, constraints }: AdmittedRequest, now: Millis): ExchangeRow => {
  const { timeoutMs, ...exchangeConstraints } = constraints
  return {
    ...exchangeConstraints,
    exchange: request.exchange,
    service: service.service,
    method: request.method,
    path: request.path,
    replayable: request.replayable,
    fingerprint: request.fingerprint,
    idempotencyKey: request.idempotencyKey,
    ticketAgeMs: request.ticketAgeMs,
    workspace: workspace?.workspace ?? null,
    receivedAt: now,
    deadline: deadlineOf(request, timeoutMs, now),
    phase: workspace === null ? 'queued' : 'admission',
    attempt: null,
    backend: null,
    attempts: 0,
    attemptStartedAt: now,
    outstandingAtStart: 0,
    objectAffinity: 'none',
    waitingSince: null,
    attemptsStarted: 0,
    excluded: new Set(),
    admittedAt: workspace === null ? now : null,
    mayHaveRun: false,
    isAway: false,
    homeScope: 'zone',
    isHomeAway: false,
    placement: 'uncounted'
  }
}

/** Creates an exchange for each accepted request, and refuses the others. */
export class RequestSystem implements System<RequestTables, RequestInput, RequestOutput> {
  readonly name = 'request'

  constructor (readonly suspicion: SuspicionPolicy) {}

  run (tick: RequestTick): void {
    const departures = new Map<ExchangeId, number>()
    for (const [position, row] of tick.inbox.entries()) {
      if (row.kind === 'caller-left') departures.set(row.exchange, position)
    }
    for (const [position, row] of tick.inbox.entries()) {
      if (row.kind !== 'request') continue
      // Whoever left may have come back within the same tick, under the same id.
      const hasLeft = (departures.get(row.exchange) ?? -1) > position
      if (!hasLeft) this.#handle(tick, row)
    }
  }

  deadline (): Millis { return NEVER }

  #check (tick: RequestTick, request: RequestReceived): AdmittedRequest | RefusalReason {
    const result = checkRequest(tick, request)
    if (typeof result === 'string') return result
    const suspect = { service: result.service.service, fingerprint: request.fingerprint, workspace: result.workspace?.workspace ?? null }
    return this.suspicion.judge(tick.tables, suspect) === 'condemned' ? 'crash-suspect' : result
  }

  #handle (tick: RequestTick, request: RequestReceived): void {
    const result = this.#check(tick, request)
    if (typeof result !== 'string') {
      // Should an earlier answer close the connection, the caller sends this request again, which must not have run by then.
      if (request.isBehind === true && !result.constraints.idempotent) tick.emit({ kind: 'defer-request', exchange: request.exchange })
      else tick.tables.exchanges.put(createExchange(request, result, tick.now))
      return
    }
    const service = requestedService(request)
    const alternatives = HOST_SPECIFIC_REASONS.has(result) ? alternativeHosts(tick, service) : []
    journalRefusal(tick, { exchange: request.exchange, service }, result)
    const window = findReturnWindow(request, result, tick.now)
    tick.emit(createRefusal(request.exchange, result, { alternatives, retryAfterMs: window === null ? undefined : drawReturn(tick.random, window) }))
  }
}

/** Takes requests in: destination, profile, key, bounds. What passes waits for admission. */

import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import type { ServiceId } from '../core/id.js'
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
import type { Bounds, Destination } from './destination.js'
import { journalRefusal } from './refusalJournal.js'
import { isServing } from './lifecycle.js'
import { createRefusal } from '../refusal/refusal.js'
import type { CallerLeft, ExchangeRow, ExchangeTables, RefusalReason, RequestRefused, RequestReceived } from './types.js'

type RequestTables = ExchangeTables & LookupTables & KeyTables & SuspicionTables & JournalTables
type RequestInput = RequestReceived | CallerLeft | { readonly kind: 'other' }
type RequestTick = Tick<RequestTables, RequestInput, RequestRefused>

interface Admittance { readonly workspace: Workspace | null, readonly service: Service, readonly bounds: Bounds }

const checkWorkspace = (tables: RequestTables, destination: Destination, request: RequestReceived, now: Millis): Workspace | null | RefusalReason => {
  const terms = findApprovedTerms(tables.configuration, destination.service.service)
  if (terms === null) return 'profile-not-approved'
  if (destination.isOpen) return null
  const result = checkKey(tables, request.key, terms, now)
  return result.tag === 'error' ? result.error.kind : result.value
}

/** A process that takes this long from reading a request to deciding about it has no processor time for more. */
export const BEHIND: Millis = 60

const isBehind = ({ target, readAt, isLate }: RequestReceived, now: Millis): boolean =>
  target.kind === 'route' && (isLate === true || (typeof readAt === 'number' && now - readAt > BEHIND))

/** Decides whether a request may go on; a reason when it may not. */
export const examine = (tick: Pick<RequestTick, 'tables' | 'random' | 'now'>, request: RequestReceived): Admittance | RefusalReason => {
  const { tables, random, now } = tick
  if (!isServing(tables.lifecycle, now)) return 'stopping'
  if (isBehind(request, now)) return 'overloaded'
  const destination = findDestination(tables.configuration, random, request)
  if (typeof destination === 'string') return tables.gossip.confirmedAt === null ? 'configuration-not-loaded' : destination
  const workspace = checkWorkspace(tables, destination, request, now)
  if (typeof workspace === 'string') return workspace
  const bounds = findConstraints(tables.configuration, destination, workspace, request)
  return typeof bounds === 'string' ? bounds : { workspace, service: destination.service, bounds }
}

/** Entry hosts other than this one, for a caller that is refused here. */
export const alternativesTo = (tick: Tick<LookupTables, unknown, unknown>, service: ServiceId): readonly RankedHost[] => {
  const self = tick.tables.gossip.self.host
  return nearEntryHosts(tick.tables, tick.random, service).filter(host => host.host !== self)
}

const helpsElsewhere: ReadonlySet<RefusalReason> = new Set<RefusalReason>(['stopping', 'configuration-not-loaded', 'configuration-stale'])

/** What a request names, before its service is known. */
const namedService = ({ target }: RequestReceived): ServiceId =>
  target.kind === 'service' ? target.service : toId<ServiceId>(target.authority)

const createExchange = (request: RequestReceived, { workspace, service, bounds }: Admittance, now: Millis): ExchangeRow => {
  const { timeoutMs, ...kept } = bounds
  return {
    ...kept,
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
    deadline: now + Math.min(request.timeoutMs ?? timeoutMs, timeoutMs),
    phase: workspace === null ? 'queued' : 'admission',
    attempt: null,
    backend: null,
    attempts: 0,
    attemptStartedAt: now,
    busyAtStart: 0,
    warmth: 'none',
    expectedWorkMs: bounds.targetMs,
    started: 0,
    excluded: new Set(),
    admittedAt: workspace === null ? now : null,
    mayHaveRun: false,
    isAway: false,
    placement: 'uncounted'
  }
}

/** The system of arriving requests. */
export class RequestSystem implements System<RequestTables, RequestInput, RequestRefused> {
  readonly name = 'request'

  constructor (readonly suspicion: SuspicionPolicy) {}

  run (tick: RequestTick): void {
    for (const row of tick.inbox) {
      if (row.kind === 'request') this.#take(tick, row)
    }
  }

  deadline (): Millis { return NEVER }

  #judge (tick: RequestTick, request: RequestReceived): Admittance | RefusalReason {
    const verdict = examine(tick, request)
    if (typeof verdict === 'string') return verdict
    const suspect = { service: verdict.service.service, fingerprint: request.fingerprint, workspace: verdict.workspace?.workspace ?? null }
    return this.suspicion.judge(tick.tables, suspect) === 'condemned' ? 'crash-suspect' : verdict
  }

  #take (tick: RequestTick, request: RequestReceived): void {
    const verdict = this.#judge(tick, request)
    if (typeof verdict !== 'string') {
      tick.tables.exchanges.put(createExchange(request, verdict, tick.now))
      return
    }
    const service = namedService(request)
    const alternatives = helpsElsewhere.has(verdict) ? alternativesTo(tick, service) : []
    journalRefusal(tick, { exchange: request.exchange, service }, verdict)
    tick.emit(createRefusal(request.exchange, verdict, { alternatives }))
  }
}

/** Handles the results of attempts: relays the answer, retries where that is safe, or refuses the request. */

import { remainingFraction } from '../core/decay.js'
import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import type { BackendRow, ReportedLoad } from '../announcement/types.js'
import type { CandidateTables } from '../backend-choice/candidates.js'
import { endClaim } from '../idempotency/claimSystem.js'
import type { ClaimTables } from '../idempotency/claimSystem.js'
import type { RecordMessage, RecordedAnswer } from '../idempotency/types.js'
import type { MessageSent } from '../membership/types.js'
import type { EventFacts } from '../journal/eventRegistry.js'
import type { JournalTables } from '../journal/journal.js'
import { spreadRumor } from '../membership/spreadRumor.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import type { AttemptId } from '../core/id.js'
import { looksLikeCrash } from '../suspicion/suspicion.js'
import { suspicionTopic } from '../suspicion/suspicionTopic.js'
import type { SuspicionPolicy } from '../suspicion/suspicionPolicy.js'
import type { Suspicion } from '../suspicion/types.js'
import { findAwayLimit, recordAwaySuccess, recordAwayFailure } from '../shift/shiftAccount.js'
import type { ShiftTables } from '../shift/types.js'
import { countEntryHosts } from '../membership/entryHosts.js'
import { roundTripTime } from '../membership/roundTrips.js'
import type { RetryBudget, RetryCause } from '../retry-budget/types.js'
import { journalRefusal } from './refusalJournal.js'
import { recordWorkTime, estimateWork } from './workTime.js'
import { drawReturn, findRoom } from './returnTime.js'
import { createRefusal } from '../refusal/refusal.js'
import type { AnswerCut, AnswerRelayed, AttemptAbandoned, AttemptReported, AttemptResult, CallerLeft, ExchangeRow, ExchangeTables, RequestRefused } from './types.js'

/** Backoff after a server sheds a request. It doubles with each consecutive shed. */
export const INITIAL_SHED_BACKOFF_MS: Millis = 50
const MAX_SHED_BACKOFF_MS: Millis = 400
/** Consecutive failures after which a server is ejected. */
export const EJECTION_FAILURE_THRESHOLD = 3
/** Time for which an ejected server gets no new requests. */
export const EJECTION_DURATION_MS: Millis = 5_000

type AttemptTables = ClaimTables & CandidateTables & RumorTables & JournalTables & ShiftTables
type AttemptInput = AttemptReported | CallerLeft | { readonly kind: 'other' }
type AttemptOutput = AnswerRelayed | AttemptAbandoned | AnswerCut | RequestRefused | MessageSent<RecordMessage>
type AttemptTick = Tick<AttemptTables, AttemptInput, AttemptOutput>

const releaseSlot = (tick: AttemptTick, exchange: ExchangeRow, recordAwayEnd = recordAwayFailure): BackendRow | undefined => {
  const backend = exchange.backend === null ? undefined : tick.tables.backends.get(exchange.backend)
  exchange.backend = null
  if (exchange.isAway && backend !== undefined) recordAwayEnd(findAwayLimit(tick.tables, exchange.service, backend.announcement.region))
  exchange.isAway = false
  if (backend?.reservedFor === exchange.exchange) backend.reservedFor = null
  if (backend === undefined) return undefined
  backend.inFlight = Math.max(0, backend.inFlight - 1)
  if (backend.inFlight === 0) backend.unansweredSince = null
  return backend
}

const FIRST_SERVER_ERROR_STATUS = 500
/** Time constant of the smoothed load that other hosts put on a server. */
const LOAD_TIME_CONSTANT_MS: Millis = 100
/** Minimum weight of a new load report. Reports in quick succession describe nearly the same load. */
const MIN_LOAD_SAMPLE_WEIGHT = 0.6
/** Time constant of the usual load that other hosts put on a server, and the minimum weight of a new report in it. */
const USUAL_LOAD_TIME_CONSTANT_MS: Millis = 1_500
const MIN_USUAL_LOAD_SAMPLE_WEIGHT = 0.1
/** Weight of a new answer in the time that a server's answers take. */
const ANSWER_TIME_SAMPLE_WEIGHT = 0.1

// The reported load includes this host's own requests, so they are subtracted.
const recordLoad = (tick: AttemptTick, exchange: ExchangeRow, load: ReportedLoad): void => {
  const backend = exchange.backend === null ? undefined : tick.tables.backends.get(exchange.backend)
  if (backend === undefined) return
  const others = Math.max(0, load.running + load.waiting - backend.inFlight)
  const tookMs = tick.now - exchange.attemptStartedAt
  const isFirst = backend.loadReportedAt === 0
  const ageMs = tick.now - backend.loadReportedAt
  const weight = isFirst ? 1 : Math.max(MIN_LOAD_SAMPLE_WEIGHT, 1 - remainingFraction(ageMs, LOAD_TIME_CONSTANT_MS))
  const usualWeight = isFirst ? 1 : Math.max(MIN_USUAL_LOAD_SAMPLE_WEIGHT, 1 - remainingFraction(ageMs, USUAL_LOAD_TIME_CONSTANT_MS))
  backend.otherHostsLoad += (others - backend.otherHostsLoad) * weight
  backend.usualOthersLoad += (others - backend.usualOthersLoad) * usualWeight
  backend.answerMs += (tookMs - backend.answerMs) * (isFirst ? 1 : ANSWER_TIME_SAMPLE_WEIGHT)
  backend.loadReportedAt = tick.now
}

const recordFailure = (tick: AttemptTick, backend: BackendRow | undefined): void => {
  if (backend === undefined) return
  backend.consecutiveFailures += 1
  if (backend.consecutiveFailures < EJECTION_FAILURE_THRESHOLD || !mayEject(tick, backend)) return
  backend.ejectedUntil = tick.now + EJECTION_DURATION_MS
  tick.tables.journal.append({ at: tick.now, event: 'ejected', subject: backend.key, facts: { consecutiveFailures: backend.consecutiveFailures, forMs: EJECTION_DURATION_MS }, profile: null })
  backend.consecutiveFailures = 0
}

// At most half of the servers of a service are ejected. If more of them fail at once, the fault is probably on this host.
const mayEject = (tick: AttemptTick, backend: BackendRow): boolean => {
  let serversUp = 0
  let ejected = 0
  for (const row of tick.tables.backends.group(backend.announcement.service)) {
    if (row.announcement.state !== 'up') continue
    serversUp += 1
    if (row.ejectedUntil > tick.now) ejected += 1
  }
  return (ejected + 1) * 2 <= serversUp
}

/** Minimum time without an answer after which a server is considered faulty. */
const MIN_SILENCE_TIMEOUT_MS: Millis = 500
/** Silence timeout as a multiple of the expected work time without a cached object. */
const SILENCE_TIMEOUT_FACTOR = 4

// Only requests that may safely run twice are moved to another server while an attempt is running.
const mayFailOver = (exchange: ExchangeRow): boolean =>
  exchange.idempotent && exchange.replayable && exchange.attempts < exchange.attemptsAllowed

// As long as nothing has been measured, no answer is late.
const silenceTimeout = (tables: ExchangeTables, exchange: ExchangeRow): Millis => {
  const { coldMs, isMeasured } = estimateWork(tables, exchange)
  return isMeasured ? Math.max(MIN_SILENCE_TIMEOUT_MS, SILENCE_TIMEOUT_FACTOR * coldMs) : NEVER
}

/** Handles attempt results, callers that disconnect, and servers that do not answer. */
export class AttemptSystem implements System<AttemptTables, AttemptInput, AttemptOutput> {
  readonly name = 'attempt'
  #nextSilenceTimeoutAt: Millis = NEVER

  constructor (readonly suspicion: SuspicionPolicy, readonly retries: RetryBudget) {}

  run (tick: AttemptTick): void {
    for (const row of tick.inbox) {
      if (row.kind === 'attempt') this.#handleReport(tick, row)
      else if (row.kind === 'caller-left') this.#handleCallerLeft(tick, row)
    }
    this.#failOverFromSilentServers(tick)
  }

  deadline (): Millis { return this.#nextSilenceTimeoutAt }

  // Abandons attempts at servers that have not answered within the silence timeout, and retries them on other servers.
  #failOverFromSilentServers (tick: AttemptTick): void {
    this.#nextSilenceTimeoutAt = NEVER
    for (const exchange of tick.tables.exchanges.group('running')) {
      const backend = exchange.backend === null ? undefined : tick.tables.backends.get(exchange.backend)
      if (backend === undefined || !mayFailOver(exchange)) continue
      const timeout = silenceTimeout(tick.tables, exchange)
      const timeoutAt = Math.max(backend.unansweredSince ?? exchange.attemptStartedAt, exchange.attemptStartedAt) + timeout
      if (tick.now < timeoutAt) this.#nextSilenceTimeoutAt = Math.min(this.#nextSilenceTimeoutAt, timeoutAt)
      else this.#failOver(tick, exchange)
    }
  }

  #failOver (tick: AttemptTick, exchange: ExchangeRow): void {
    if (exchange.attempt === null || !this.#takeRetryIfAllowed(tick, exchange)) return
    tick.emit({ kind: 'abandon-attempt', exchange: exchange.exchange, attempt: exchange.attempt })
    exchange.mayHaveRun = true
    const backend = releaseSlot(tick, exchange)
    recordFailure(tick, backend)
    this.#requeue(tick, exchange, backend)
  }

  #handleReport (tick: AttemptTick, report: AttemptReported): void {
    const exchange = tick.tables.exchanges.get(report.exchange)
    // Ignores a late report of an earlier attempt, which must not affect the running one.
    if (exchange === undefined || exchange.attempt !== report.attempt) return
    if (report.result.kind === 'head') this.#handleHead(tick, exchange, report.result)
    else if (report.result.kind === 'complete') this.#handleComplete(tick, exchange, report.result.answer ?? null)
    else if (report.result.kind === 'misdirected') this.#handleMisdirected(tick, exchange)
    else if (report.result.kind === 'cut') this.#handleCut(tick, exchange, report.result.reason)
    else this.#handleFailure(tick, exchange, report.result)
  }

  #handleHead (tick: AttemptTick, exchange: ExchangeRow, head: Extract<AttemptResult, { kind: 'head' }>): void {
    const attempt = exchange.attempt
    if (attempt === null) return
    const server = exchange.backend === null ? undefined : tick.tables.backends.get(exchange.backend)
    if (server !== undefined) server.unansweredSince = tick.now
    if (head.load !== null) recordLoad(tick, exchange, head.load)
    if (head.shed) {
      tick.emit({ kind: 'abandon-attempt', exchange: exchange.exchange, attempt })
      this.#handleShed(tick, exchange)
      return
    }
    if (head.status >= FIRST_SERVER_ERROR_STATUS && this.#retryServerError(tick, exchange, attempt)) return
    exchange.phase = 'answering'
    tick.tables.exchanges.put(exchange)
    tick.emit({ kind: 'relay-answer', exchange: exchange.exchange, attempt })
    // The answer may wait for the caller, or for the answers before it on the caller's connection. The server is done.
    if (head.isWhole) this.#endServerWork(tick, exchange)
  }

  // A shed request has not run, so it is safe to resend and does not count as an attempt. The server's backoff limits how
  // often this happens. A fleet-wide retry budget limits it too.
  #handleShed (tick: AttemptTick, exchange: ExchangeRow): void {
    const backend = releaseSlot(tick, exchange)
    if (backend !== undefined) {
      backend.shedUntil = tick.now + Math.min(MAX_SHED_BACKOFF_MS, INITIAL_SHED_BACKOFF_MS * 2 ** backend.shedStreak)
      backend.shedStreak += 1
    }
    if (exchange.replayable && exchange.deadline > tick.now && this.#takeRetry(tick, exchange, 'shed')) {
      exchange.attempts -= 1
      this.#requeue(tick, exchange, backend)
      return
    }
    this.#refuse(tick, exchange, 'shed', {})
  }

  // The last attempt did not run, but an earlier one may have.
  #refuse (tick: AttemptTick, exchange: ExchangeRow, reason: 'shed' | 'no-backend', facts: EventFacts<'refused'>): void {
    tick.tables.exchanges.remove(exchange.exchange)
    endClaim(tick, exchange.exchange, { kind: exchange.mayHaveRun ? 'unknown' : 'released' })
    journalRefusal(tick, exchange, reason, facts)
    tick.emit(createRefusal(exchange.exchange, reason, { ran: exchange.mayHaveRun ? 'unknown' : 'not-run', retryAfterMs: this.#returnDelay(tick, exchange) }))
  }

  #handleComplete (tick: AttemptTick, exchange: ExchangeRow, answer: RecordedAnswer | null): void {
    this.#endServerWork(tick, exchange)
    this.retries.countSuccess()
    endClaim(tick, exchange.exchange, { kind: 'finished', answer })
    this.#spreadSuspicion(tick, this.suspicion.recordCompletion(tick.tables, exchange, tick.now))
    tick.tables.exchanges.remove(exchange.exchange)
  }

  #endServerWork (tick: AttemptTick, exchange: ExchangeRow): void {
    const server = exchange.backend === null ? undefined : tick.tables.backends.get(exchange.backend)
    if (server !== undefined) recordWorkTime(tick.tables, exchange, server, tick.now - exchange.attemptStartedAt - roundTripTime(tick.tables.gossip, server.announcement.region), tick.now)
    const backend = releaseSlot(tick, exchange, recordAwaySuccess)
    if (backend === undefined) return
    backend.consecutiveFailures = 0
    backend.shedStreak = 0
  }

  #handleCut (tick: AttemptTick, exchange: ExchangeRow, reason: string): void {
    const backend = releaseSlot(tick, exchange)
    recordFailure(tick, backend)
    if (backend !== undefined && looksLikeCrash(reason)) this.#spreadSuspicion(tick, this.suspicion.recordCrash(tick.tables, exchange, backend, tick.now))
    tick.tables.exchanges.remove(exchange.exchange)
    endClaim(tick, exchange.exchange, { kind: 'unknown' })
    tick.emit({ kind: 'cut-answer', exchange: exchange.exchange })
  }

  #handleFailure (tick: AttemptTick, exchange: ExchangeRow, result: Extract<AttemptResult, { kind: 'not-sent' | 'lost' }>): void {
    const backend = releaseSlot(tick, exchange)
    recordFailure(tick, backend)
    if (result.kind === 'lost') {
      exchange.mayHaveRun = true
      if (backend !== undefined && looksLikeCrash(result.reason)) this.#spreadSuspicion(tick, this.suspicion.recordCrash(tick.tables, exchange, backend, tick.now))
    }
    // A request that was not sent has not run. After any later failure it may have run.
    const isCondemned = this.suspicion.judge(tick.tables, exchange) === 'condemned'
    const isSafe = result.kind === 'not-sent' || (exchange.replayable && exchange.idempotent)
    if (isSafe && !isCondemned && this.#takeRetryIfAllowed(tick, exchange)) {
      this.#requeue(tick, exchange, backend)
      return
    }
    tick.tables.exchanges.remove(exchange.exchange)
    endClaim(tick, exchange.exchange, { kind: exchange.mayHaveRun ? 'unknown' : 'released' })
    journalRefusal(tick, exchange, exchange.mayHaveRun ? 'attempt-failed' : 'no-backend', { attempts: exchange.attempts, result: result.kind, cause: result.reason, isCondemned })
    const retryAfterMs = this.#returnDelay(tick, exchange)
    if (!exchange.mayHaveRun) tick.emit(createRefusal(exchange.exchange, 'no-backend', { retryAfterMs }))
    else if (exchange.idempotent) tick.emit(createRefusal(exchange.exchange, 'attempt-failed', { retryAfterMs }))
    else tick.emit(createRefusal(exchange.exchange, 'outcome-unknown'))
  }

  #returnDelay (tick: AttemptTick, exchange: ExchangeRow): Millis { return drawReturn(tick.random, findRoom(tick.tables, exchange, tick.now)) }

  // Takes a retry from the budget if the request has attempts and time left.
  #takeRetryIfAllowed (tick: AttemptTick, exchange: ExchangeRow): boolean {
    if (exchange.attempts >= exchange.attemptsAllowed || exchange.deadline <= tick.now) return false
    return this.#takeRetry(tick, exchange, 'failure')
  }

  #takeRetry (tick: AttemptTick, exchange: ExchangeRow, cause: RetryCause): boolean {
    return this.retries.take(exchange.service, cause, countEntryHosts(tick.tables))
  }

  // Retries a 5xx answer on another server if the request may safely run twice, and attempts, time and retry budget remain.
  #retryServerError (tick: AttemptTick, exchange: ExchangeRow, attempt: AttemptId): boolean {
    if (!exchange.idempotent || !exchange.replayable || !this.#takeRetryIfAllowed(tick, exchange)) return false
    tick.emit({ kind: 'abandon-attempt', exchange: exchange.exchange, attempt })
    exchange.mayHaveRun = true
    const backend = releaseSlot(tick, exchange)
    recordFailure(tick, backend)
    this.#requeue(tick, exchange, backend)
    return true
  }

  // Another server now has the address, so the intended one is marked as gone. The request has not run.
  #handleMisdirected (tick: AttemptTick, exchange: ExchangeRow): void {
    const backend = releaseSlot(tick, exchange)
    if (backend !== undefined) {
      backend.announcement = { ...backend.announcement, state: 'gone' }
      tick.tables.backends.put(backend)
    }
    if (exchange.replayable && exchange.deadline > tick.now && this.#takeRetry(tick, exchange, 'failure')) {
      exchange.attempts -= 1
      this.#requeue(tick, exchange, backend)
      return
    }
    this.#refuse(tick, exchange, 'no-backend', { result: 'misdirected' })
  }

  #requeue (tick: AttemptTick, exchange: ExchangeRow, backend: BackendRow | undefined): void {
    if (backend !== undefined) exchange.excluded.add(backend.key)
    exchange.phase = 'queued'
    exchange.attempt = null
    tick.tables.exchanges.put(exchange)
  }

  #spreadSuspicion (tick: AttemptTick, suspicion: Suspicion | null): void {
    if (suspicion !== null) spreadRumor(tick, suspicionTopic, { topic: 'suspicion', suspicion })
  }

  #handleCallerLeft (tick: AttemptTick, row: CallerLeft): void {
    const exchange = tick.tables.exchanges.get(row.exchange)
    if (exchange === undefined) return
    if (exchange.attempt !== null) tick.emit({ kind: 'abandon-attempt', exchange: exchange.exchange, attempt: exchange.attempt })
    releaseSlot(tick, exchange)
    // Without a running attempt, and unless an earlier one may have run, the request has provably not run.
    endClaim(tick, exchange.exchange, { kind: exchange.attempt === null && !exchange.mayHaveRun ? 'released' : 'unknown' })
    tick.tables.exchanges.remove(exchange.exchange)
  }
}

/** Decides what follows from the end of an attempt: relay, retry where it is safe, or a truthful refusal. */

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
import { findAwayLimit, noteAwayAnswer, noteAwayTrouble } from '../shift/shiftAccount.js'
import type { ShiftTables } from '../shift/types.js'
import { countEntryHosts } from '../membership/entryHosts.js'
import { roundTripTime } from '../membership/roundTrips.js'
import type { RetryBudget, RetryCause } from '../retry-budget/types.js'
import { journalRefusal } from './refusalJournal.js'
import { noteWorkTime, workOf } from './workTime.js'
import { createRefusal } from '../refusal/refusal.js'
import type { AnswerCut, AnswerRelayed, AttemptAbandoned, AttemptReported, AttemptResult, CallerLeft, ExchangeRow, ExchangeTables, RequestRefused } from './types.js'

/** A shedding server gets no new work from this host for this long, doubled by each further shed. */
export const SHED_PAUSE: Millis = 50
const LONGEST_SHED_PAUSE: Millis = 400
/** Failures in a row that eject a server. */
export const EJECTION_FAILURES = 3
/** How long an ejected server gets no new work. */
export const EJECTION: Millis = 5_000

type AttemptTables = ClaimTables & CandidateTables & RumorTables & JournalTables & ShiftTables
type AttemptInput = AttemptReported | CallerLeft | { readonly kind: 'other' }
type AttemptOutput = AnswerRelayed | AttemptAbandoned | AnswerCut | RequestRefused | MessageSent<RecordMessage>
type AttemptTick = Tick<AttemptTables, AttemptInput, AttemptOutput>

const releaseSlot = (tick: AttemptTick, exchange: ExchangeRow, noteAwayEnd = noteAwayTrouble): BackendRow | undefined => {
  const backend = exchange.backend === null ? undefined : tick.tables.backends.get(exchange.backend)
  exchange.backend = null
  if (exchange.isAway && backend !== undefined) noteAwayEnd(findAwayLimit(tick.tables, exchange.service, backend.announcement.region))
  exchange.isAway = false
  if (backend?.reservedFor === exchange.exchange) backend.reservedFor = null
  if (backend === undefined) return undefined
  backend.inFlight = Math.max(0, backend.inFlight - 1)
  if (backend.inFlight === 0) backend.unansweredSince = null
  return backend
}

/** The first status of a server's own failure. */
const SERVER_ERROR = 500
/** How fast the estimate of others' load follows what answers say. */
const LOAD_FOLLOW: Millis = 100
/** Least weight of one more answer: one from a moment ago says nearly the same. */
const SMALLEST_FOLLOW = 0.6

// The load that a server tells holds this host's own requests too.
const noteLoad = (tick: AttemptTick, exchange: ExchangeRow, load: ReportedLoad): void => {
  const backend = exchange.backend === null ? undefined : tick.tables.backends.get(exchange.backend)
  if (backend === undefined) return
  const others = Math.max(0, load.running + load.waiting - backend.inFlight)
  const weight = Math.max(SMALLEST_FOLLOW, 1 - Math.exp((backend.loadReportedAt - tick.now) / LOAD_FOLLOW))
  backend.otherHostsLoad += (others - backend.otherHostsLoad) * weight
  backend.loadReportedAt = tick.now
}

const noteFailure = (tick: AttemptTick, backend: BackendRow | undefined): void => {
  if (backend === undefined) return
  backend.consecutiveFailures += 1
  if (backend.consecutiveFailures < EJECTION_FAILURES || !mayEject(tick, backend)) return
  backend.ejectedUntil = tick.now + EJECTION
  tick.tables.journal.append({ at: tick.now, event: 'ejected', subject: backend.key, facts: { consecutiveFailures: backend.consecutiveFailures, forMs: EJECTION }, profile: null })
  backend.consecutiveFailures = 0
}

// When most servers look bad at once, the fault is more likely here: at most half of a service is ejected.
const mayEject = (tick: AttemptTick, backend: BackendRow): boolean => {
  let all = 0
  let ejected = 0
  for (const row of tick.tables.backends.group(backend.announcement.service)) {
    if (row.announcement.state !== 'up') continue
    all += 1
    if (row.ejectedUntil > tick.now) ejected += 1
  }
  return (ejected + 1) * 2 <= all
}

/** Shortest silence of a server that is taken for a fault. */
const SHORTEST_SILENCE: Millis = 500
/** Silence of a server, in ordinary work times, that is taken for a fault. */
const SILENCE_WORK_TIMES = 4

const mayLeave = (exchange: ExchangeRow): boolean =>
  exchange.route !== null && exchange.idempotent && exchange.replayable && exchange.attempts < exchange.attemptsAllowed

const silencePatience = (tables: ExchangeTables, exchange: ExchangeRow): Millis =>
  Math.max(SHORTEST_SILENCE, SILENCE_WORK_TIMES * workOf(tables, exchange).coldMs)

/** The system of attempts. */
export class AttemptSystem implements System<AttemptTables, AttemptInput, AttemptOutput> {
  readonly name = 'attempt'
  #silenceAt: Millis = NEVER

  constructor (readonly suspicion: SuspicionPolicy, readonly retries: RetryBudget) {}

  run (tick: AttemptTick): void {
    for (const row of tick.inbox) {
      if (row.kind === 'attempt') this.#takeReport(tick, row)
      else if (row.kind === 'caller-left') this.#takeLeave(tick, row)
    }
    this.#leaveSilentServers(tick)
  }

  deadline (): Millis { return this.#silenceAt }

  // Only a request that is safe to lose may be taken from a silent server and sent to another one.
  #leaveSilentServers (tick: AttemptTick): void {
    this.#silenceAt = NEVER
    for (const exchange of tick.tables.exchanges.group('running')) {
      const backend = exchange.backend === null ? undefined : tick.tables.backends.get(exchange.backend)
      if (backend === undefined || backend.loadReportedAt === 0 || !mayLeave(exchange)) continue
      const patience = silencePatience(tick.tables, exchange)
      const silentAt = Math.max(backend.unansweredSince ?? exchange.attemptStartedAt, exchange.attemptStartedAt) + patience
      if (tick.now < silentAt) this.#silenceAt = Math.min(this.#silenceAt, silentAt)
      else this.#leave(tick, exchange)
    }
  }

  #leave (tick: AttemptTick, exchange: ExchangeRow): void {
    if (exchange.attempt === null || !this.#mayRetry(tick, exchange)) return
    tick.emit({ kind: 'abandon-attempt', exchange: exchange.exchange, attempt: exchange.attempt })
    exchange.mayHaveRun = true
    const backend = releaseSlot(tick, exchange)
    noteFailure(tick, backend)
    this.#queueAgain(tick, exchange, backend)
  }

  #takeReport (tick: AttemptTick, report: AttemptReported): void {
    const exchange = tick.tables.exchanges.get(report.exchange)
    // A report of an earlier attempt must not touch the one that runs now.
    if (exchange === undefined || exchange.attempt !== report.attempt) return
    if (report.result.kind === 'head') this.#takeHead(tick, exchange, report.result)
    else if (report.result.kind === 'complete') this.#finish(tick, exchange, report.result.answer ?? null)
    else if (report.result.kind === 'misdirected') this.#takeMisdirected(tick, exchange)
    else if (report.result.kind === 'cut') this.#cut(tick, exchange, report.result.reason)
    else this.#takeFailure(tick, exchange, report.result)
  }

  #takeHead (tick: AttemptTick, exchange: ExchangeRow, head: Extract<AttemptResult, { kind: 'head' }>): void {
    const attempt = exchange.attempt
    if (attempt === null) return
    const server = exchange.backend === null ? undefined : tick.tables.backends.get(exchange.backend)
    if (server !== undefined) server.unansweredSince = tick.now
    if (head.load !== null) noteLoad(tick, exchange, head.load)
    if (head.shed) {
      tick.emit({ kind: 'abandon-attempt', exchange: exchange.exchange, attempt })
      this.#takeShed(tick, exchange)
      return
    }
    if (head.status >= SERVER_ERROR && this.#retryError(tick, exchange, attempt)) return
    exchange.phase = 'answering'
    tick.tables.exchanges.put(exchange)
    tick.emit({ kind: 'relay-answer', exchange: exchange.exchange, attempt })
  }

  // A shed proves that nothing ran. The pause, not the retry budget, keeps sheds from multiplying.
  #takeShed (tick: AttemptTick, exchange: ExchangeRow): void {
    const backend = releaseSlot(tick, exchange)
    if (backend !== undefined) {
      backend.shedUntil = tick.now + Math.min(LONGEST_SHED_PAUSE, SHED_PAUSE * 2 ** backend.shedStreak)
      backend.shedStreak += 1
    }
    if (exchange.replayable && exchange.deadline > tick.now && this.#mayResend(tick, exchange, 'shed')) {
      exchange.attempts -= 1
      this.#queueAgain(tick, exchange, backend)
      return
    }
    this.#refuse(tick, exchange, 'shed', {})
  }

  // The attempt before this end did not run; an earlier one may have.
  #refuse (tick: AttemptTick, exchange: ExchangeRow, reason: 'shed' | 'no-backend', facts: EventFacts<'refused'>): void {
    tick.tables.exchanges.remove(exchange.exchange)
    endClaim(tick, exchange.exchange, { kind: exchange.mayHaveRun ? 'unknown' : 'released' })
    journalRefusal(tick, exchange, reason, facts)
    tick.emit(createRefusal(exchange.exchange, reason, { ran: exchange.mayHaveRun ? 'unknown' : 'not-run' }))
  }

  #finish (tick: AttemptTick, exchange: ExchangeRow, answer: RecordedAnswer | null): void {
    const server = exchange.backend === null ? undefined : tick.tables.backends.get(exchange.backend)
    if (server !== undefined) noteWorkTime(tick.tables, exchange, server, tick.now - exchange.attemptStartedAt - roundTripTime(tick.tables.gossip, server.announcement.region), tick.now)
    const backend = releaseSlot(tick, exchange, noteAwayAnswer)
    if (backend !== undefined) {
      backend.consecutiveFailures = 0
      backend.shedStreak = 0
    }
    this.retries.noteSuccess()
    endClaim(tick, exchange.exchange, { kind: 'finished', answer })
    this.#tellOthers(tick, this.suspicion.noteCompletion(tick.tables, exchange, tick.now))
    tick.tables.exchanges.remove(exchange.exchange)
  }

  #cut (tick: AttemptTick, exchange: ExchangeRow, reason: string): void {
    const backend = releaseSlot(tick, exchange)
    noteFailure(tick, backend)
    if (backend !== undefined && looksLikeCrash(reason)) this.#tellOthers(tick, this.suspicion.noteCrash(tick.tables, exchange, backend, tick.now))
    tick.tables.exchanges.remove(exchange.exchange)
    endClaim(tick, exchange.exchange, { kind: 'unknown' })
    tick.emit({ kind: 'cut-answer', exchange: exchange.exchange })
  }

  #takeFailure (tick: AttemptTick, exchange: ExchangeRow, result: Extract<AttemptResult, { kind: 'not-sent' | 'lost' }>): void {
    const backend = releaseSlot(tick, exchange)
    noteFailure(tick, backend)
    if (result.kind === 'lost') {
      exchange.mayHaveRun = true
      if (backend !== undefined && looksLikeCrash(result.reason)) this.#tellOthers(tick, this.suspicion.noteCrash(tick.tables, exchange, backend, tick.now))
    }
    // Refused connections prove that nothing ran; anything later proves nothing.
    const isCondemned = this.suspicion.judge(tick.tables, exchange) === 'condemned'
    const isSafe = result.kind === 'not-sent' || (exchange.replayable && exchange.idempotent)
    if (isSafe && !isCondemned && this.#mayRetry(tick, exchange)) {
      this.#queueAgain(tick, exchange, backend)
      return
    }
    tick.tables.exchanges.remove(exchange.exchange)
    endClaim(tick, exchange.exchange, { kind: exchange.mayHaveRun ? 'unknown' : 'released' })
    journalRefusal(tick, exchange, exchange.mayHaveRun ? 'attempt-failed' : 'no-backend', { attempts: exchange.attempts, result: result.kind, cause: result.reason, isCondemned })
    if (!exchange.mayHaveRun) tick.emit(createRefusal(exchange.exchange, 'no-backend'))
    else tick.emit(createRefusal(exchange.exchange, exchange.idempotent ? 'attempt-failed' : 'outcome-unknown'))
  }

  #mayRetry (tick: AttemptTick, exchange: ExchangeRow): boolean {
    if (exchange.attempts >= exchange.attemptsAllowed || exchange.deadline <= tick.now) return false
    return this.#mayResend(tick, exchange, 'failure')
  }

  #mayResend (tick: AttemptTick, exchange: ExchangeRow, cause: RetryCause): boolean {
    return this.retries.take(exchange.service, cause, countEntryHosts(tick.tables))
  }

  // A server that fails what others can do is worth another try where that is safe and some time is left.
  #retryError (tick: AttemptTick, exchange: ExchangeRow, attempt: AttemptId): boolean {
    if (exchange.route === null || !exchange.idempotent || !exchange.replayable || !this.#mayRetry(tick, exchange)) return false
    tick.emit({ kind: 'abandon-attempt', exchange: exchange.exchange, attempt })
    exchange.mayHaveRun = true
    const backend = releaseSlot(tick, exchange)
    noteFailure(tick, backend)
    this.#queueAgain(tick, exchange, backend)
    return true
  }

  // Another server holds the address, so the one that was meant is gone.
  #takeMisdirected (tick: AttemptTick, exchange: ExchangeRow): void {
    const backend = releaseSlot(tick, exchange)
    if (backend !== undefined) backend.announcement = { ...backend.announcement, state: 'gone' }
    if (exchange.replayable && exchange.deadline > tick.now && this.#mayResend(tick, exchange, 'failure')) {
      exchange.attempts -= 1
      this.#queueAgain(tick, exchange, backend)
      return
    }
    this.#refuse(tick, exchange, 'no-backend', { result: 'misdirected' })
  }

  #queueAgain (tick: AttemptTick, exchange: ExchangeRow, backend: BackendRow | undefined): void {
    if (backend !== undefined) exchange.excluded.add(backend.key)
    exchange.phase = 'queued'
    exchange.attempt = null
    tick.tables.exchanges.put(exchange)
  }

  #tellOthers (tick: AttemptTick, suspicion: Suspicion | null): void {
    if (suspicion !== null) spreadRumor(tick, suspicionTopic, { topic: 'suspicion', suspicion })
  }

  #takeLeave (tick: AttemptTick, row: CallerLeft): void {
    const exchange = tick.tables.exchanges.get(row.exchange)
    if (exchange === undefined) return
    if (exchange.attempt !== null) tick.emit({ kind: 'abandon-attempt', exchange: exchange.exchange, attempt: exchange.attempt })
    releaseSlot(tick, exchange)
    // Without an attempt under way everything before it is proved not to have run.
    endClaim(tick, exchange.exchange, { kind: exchange.attempt === null && !exchange.mayHaveRun ? 'released' : 'unknown' })
    tick.tables.exchanges.remove(exchange.exchange)
  }
}

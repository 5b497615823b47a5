/** Dispatches each service's queue to backend servers, in the order that the queue policy gives. */

import { toId } from '../core/id.js'
import type { AttemptId, ServiceId, WorkspaceId } from '../core/id.js'
import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import type { BackendRow } from '../announcement/types.js'
import { findApprovedTerms } from '../configuration/configurationTables.js'
import { currentSlowness, expectedWait } from '../backend-choice/backendChoice.js'
import { LearnedHomes } from '../affinity/homeScope.js'
import type { HomePolicy } from '../affinity/homeScope.js'
import { rateAffinity, recordObjectSent } from '../affinity/warmth.js'
import { findShiftAccount, shiftSubjectOf } from '../shift/shiftAccount.js'
import { estimateOutstanding, findAvailableFrom, findCandidates, findAffinityServers, findOutOfServiceReason, findPauseEnd, hasLiveServer, mayUse } from '../backend-choice/candidates.js'
import type { CandidateTables } from '../backend-choice/candidates.js'
import type { BackendChoice, WorkEstimate } from '../backend-choice/types.js'
import { endClaim } from '../idempotency/claimSystem.js'
import type { ClaimTables } from '../idempotency/claimSystem.js'
import type { RecordMessage } from '../idempotency/types.js'
import type { MessageSent } from '../membership/types.js'
import type { Workspace } from '../configuration/types.js'
import type { JournalTables } from '../journal/journal.js'
import type { SuspicionPolicy } from '../suspicion/suspicionPolicy.js'
import type { SuspicionTables } from '../suspicion/types.js'
import { journalRefusal, profileLabel } from './refusalJournal.js'
import type { ProfileTerms } from '../plan/types.js'
import type { ShiftPolicy } from '../shift/shiftPolicy.js'
import type { ShiftTables } from '../shift/types.js'
import { fairnessKey } from './queuePolicy.js'
import type { QueuePolicy, QueueView } from './queuePolicy.js'
import type { RetryBudget } from '../retry-budget/types.js'
import { recordColdSend } from '../warmup/warmupLimit.js'
import { roundTripTime } from '../membership/roundTrips.js'
import { countJoin, countStart, isCongested, isUnderserved } from './congestion.js'
import { countRank, urgentFraction } from './rankDemand.js'
import { decideWait, findLatestStart } from './waitDecision.js'
import { estimateWork } from './workTime.js'
import { createRefusal } from '../refusal/refusal.js'
import { countDemand, countPlacement } from './placementCount.js'
import { drawReturn, findRoom, findUsefulTime, spreadOver } from './returnTime.js'
import type { AttemptStarted, ExchangeRow, RefusalReason, RequestRefused } from './types.js'

/** Maximum number of exchanges that wait for one service on one host. */
export const QUEUE_LIMIT = 128
/** Interval at which a waiting queue is checked again when there is no new input. */
const RECHECK_INTERVAL_MS: Millis = 20
/** Time that a request waits for a server to announce itself when none is live. */
const NO_SERVER_TIMEOUT_MS: Millis = 300
/** Callers that are refused during a pause return within this time after its end, or within as long as it still lasts. */
const MIN_RETURN_SPREAD_MS: Millis = 500
const MAX_RETURN_SPREAD_MS: Millis = 5_000

const DEFAULT_HOMES = new LearnedHomes()

/** Policies that decide the queue order, the server, the region, retries, crash suspects and the homes of objects. */
export interface DispatchPolicies {
  readonly choice: BackendChoice
  readonly queue: QueuePolicy
  readonly suspicion: SuspicionPolicy
  readonly shift: ShiftPolicy
  readonly retries: RetryBudget
  /** Learned from the requests if absent. */
  readonly homes?: HomePolicy | undefined
}

/** Tables that dispatch reads and writes. */
export type DispatchTables = ClaimTables & CandidateTables & SuspicionTables & JournalTables & ShiftTables
type DispatchTick = Tick<DispatchTables, unknown, AttemptStarted | RequestRefused | MessageSent<RecordMessage>>

/** Returns the table group of an exchange: its phase, or the queue of its service while it is queued. */
export const exchangeGroup = (row: ExchangeRow): string => row.phase === 'queued' ? queueGroup(row.service) : row.phase

const QUEUE_GROUP_PREFIX = 'queued/'
const queueGroup = (service: ServiceId): string => `${QUEUE_GROUP_PREFIX}${service}`

// An attempt that failed leaves less time, but the request keeps its place among those that came at the same time.
const byArrival = (a: ExchangeRow, b: ExchangeRow): number => a.receivedAt - b.receivedAt

/** Starts attempts for queued exchanges, and refuses those that expire, arrive too late or exceed the queue limit. */
export class DispatchSystem implements System<DispatchTables, unknown, AttemptStarted | RequestRefused | MessageSent<RecordMessage>> {
  readonly name = 'dispatch'
  #recheckAt: Millis = NEVER
  /** Most urgent rank that waited for the service before this tick. */
  #waitingRank = Number.POSITIVE_INFINITY

  constructor (readonly policies: DispatchPolicies) {}

  run (tick: DispatchTick): void {
    this.#recheckAt = NEVER
    const { exchanges, configuration } = tick.tables
    for (const service of configuration.services.rows()) {
      if (exchanges.groupSize(queueGroup(service.service)) > 0) this.#dispatchQueue(tick, service.service)
    }
    this.#refuseRemovedServices(tick)
  }

  deadline (): Millis { return this.#recheckAt }

  #dispatchQueue (tick: DispatchTick, service: ServiceId): void {
    this.#refuseExpired(tick, service)
    this.#waitingRank = this.#findWaitingRank(tick, service)
    let queued = tick.tables.exchanges.group(queueGroup(service)).sort(byArrival)
    countDemand(tick, service, queued, this.policies.homes ?? DEFAULT_HOMES)
    const running = this.#countRunning(tick, service)
    const view = (): QueueView => ({
      queued,
      running: key => running.get(key) ?? 0,
      weight: key => this.#findWorkspace(tick, key)?.weight ?? 1,
      isUnderserved: rank => isUnderserved(tick.tables, service, rank, tick.now)
    })
    while (queued.length > 0) {
      const exchange = this.policies.queue.next(view())
      if (exchange === undefined) break
      const result = this.#dispatchNext(tick, exchange)
      if (result === 'full') break
      if (result === 'refused') this.#countWait(tick, exchange)
      if (result === 'started') running.set(fairnessKey(exchange), (running.get(fairnessKey(exchange)) ?? 0) + 1)
      queued = queued.filter(row => row !== exchange)
    }
    queued = tick.tables.exchanges.group(queueGroup(service)).sort(byArrival)
    for (const exchange of queued) this.#countWait(tick, exchange)
    queued = this.#refuseCongested(tick, queued, this.policies.queue.next(view()))
    while (queued.length > QUEUE_LIMIT) {
      const victim = this.policies.queue.victim(view())
      if (victim === undefined) break
      this.#refuse(tick, victim, 'queue-full')
      queued = queued.filter(row => row !== victim)
    }
    if (queued.length > 0) this.#recheckAt = tick.now + RECHECK_INTERVAL_MS
  }

  // A request may join the queue after its service was removed: when it is admitted, or after a failed attempt.
  #refuseRemovedServices (tick: DispatchTick): void {
    const { exchanges, configuration } = tick.tables
    for (const group of exchanges.groupNames()) {
      if (!group.startsWith(QUEUE_GROUP_PREFIX)) continue
      for (const exchange of exchanges.group(group)) {
        if (configuration.services.has(exchange.service)) break
        this.#refuse(tick, exchange, 'service-removed')
      }
    }
  }

  #dispatchNext (tick: DispatchTick, exchange: ExchangeRow): 'started' | 'refused' | 'passed-over' | 'full' {
    const backend = this.#chooseServer(tick, exchange)
    if (backend !== undefined) {
      this.#sendAttempt(tick, exchange, backend)
      return 'started'
    }
    if (!tick.tables.exchanges.has(exchange.exchange) || this.#refuseIfPaused(tick, exchange) || this.#refuseIfHopeless(tick, exchange)) return 'refused'
    // An exchange that can use only some of the servers must not block the exchanges behind it.
    return this.#hasRestrictedServers(tick, exchange) ? 'passed-over' : 'full'
  }

  #findWaitingRank ({ tables }: DispatchTick, service: ServiceId): number {
    const waiting = tables.exchanges.group(queueGroup(service)).filter(row => row.waitingSince !== null)
    return Math.min(...waiting.map(row => row.rank))
  }

  // Counts a request that cannot start in the tick in which it joins the queue; it waits or is refused.
  #countWait ({ tables, now }: DispatchTick, exchange: ExchangeRow): void {
    if (exchange.waitingSince !== null) return
    exchange.waitingSince = now
    countJoin(tables, exchange.service, exchange.rank, this.#waitingRank <= exchange.rank, estimateWork(tables, exchange).meanMs, now)
  }

  // Those that wait for the servers of other objects are not in the way of a request that can start.
  #countStart ({ tables, now }: DispatchTick, exchange: ExchangeRow): void {
    const { service, rank } = exchange
    const foundOthers = exchange.affinity === null && this.#waitingRank <= rank
    if (exchange.waitingSince === null) countJoin(tables, service, rank, foundOthers, estimateWork(tables, exchange).meanMs, now)
    countStart(tables, service, rank, now)
    exchange.waitingSince = null
  }

  // While all servers pause, waiting requests show nothing about the load.
  #refuseCongested (tick: DispatchTick, queued: readonly ExchangeRow[], next: ExchangeRow | undefined): ExchangeRow[] {
    const kept: ExchangeRow[] = []
    for (const exchange of queued) {
      const decision = decideWait({ now: tick.now, latestStart: this.#latestStart(tick, exchange), isNext: exchange === next, isCongested: this.#isCongested(tick, exchange) })
      if (decision === 'wait' || (decision === 'congested' && findPauseEnd(tick.tables, exchange, tick.now) !== null)) kept.push(exchange)
      else this.#refuse(tick, exchange, 'overloaded')
    }
    return kept
  }

  #latestStart (tick: DispatchTick, exchange: ExchangeRow): Millis {
    return findLatestStart(exchange.deadline, estimateWork(tick.tables, exchange))
  }

  #isCongested ({ tables, now }: DispatchTick, exchange: ExchangeRow): boolean {
    return isCongested(tables, exchange.service, exchange.rank, estimateWork(tables, exchange).meanMs, now)
  }

  // Refuses a request that would wait for the end of a pause longer than it can. Callers return at different times after it.
  #refuseIfPaused (tick: DispatchTick, exchange: ExchangeRow): boolean {
    const pauseEnd = findPauseEnd(tick.tables, exchange, tick.now)
    if (pauseEnd === null || pauseEnd <= this.#latestStart(tick, exchange)) return false
    const leftMs = pauseEnd - tick.now
    this.#refuse(tick, exchange, 'servers-paused', leftMs + tick.random.below(Math.max(MIN_RETURN_SPREAD_MS, Math.round(Math.min(leftMs, MAX_RETURN_SPREAD_MS)))))
    return true
  }

  // Waiting cannot help where no server, busy or not, has a chance to finish the request in time.
  #refuseIfHopeless (tick: DispatchTick, exchange: ExchangeRow): boolean {
    const work = estimateWork(tick.tables, exchange)
    let hasServer = false
    for (const row of tick.tables.backends.group(exchange.service)) {
      if (!mayUse(tick.tables, exchange, row)) continue
      if (this.#canFinish(tick, exchange, row, work)) return false
      hasServer = true
    }
    if (hasServer) this.#refuse(tick, exchange, 'overloaded')
    return hasServer
  }

  #findWorkspace (tick: DispatchTick, key: string): Workspace | undefined {
    return tick.tables.configuration.workspaces.get(toId<WorkspaceId>(key))
  }

  #countRunning (tick: DispatchTick, service: ServiceId): Map<string, number> {
    const running = new Map<string, number>()
    for (const phase of ['running', 'answering']) {
      for (const row of tick.tables.exchanges.group(phase)) {
        if (row.service !== service) continue
        const key = fairnessKey(row)
        running.set(key, (running.get(key) ?? 0) + 1)
      }
    }
    return running
  }

  // Returns the server for the next attempt; undefined if none is available or the exchange was refused.
  #chooseServer (tick: DispatchTick, exchange: ExchangeRow): BackendRow | undefined {
    const { now, random, tables } = tick
    const { service, excluded, allowedRegions } = exchange
    const work = estimateWork(tables, exchange)
    const query = { service, excluded, allowedRegions, urgentFraction: urgentFraction(tables, service, exchange.routeRank), isCongested: this.#isCongested(tick, exchange), workMs: work.meanMs }
    let candidates = findCandidates(tables, query, now)
    if (candidates.length === 0 && exchange.excluded.size > 0 && !this.#hasUntriedServer(tick, exchange)) {
      // A server may write its refusal once more. Its answer to a second attempt could not be told from that.
      if (!exchange.idempotent) {
        this.#refuse(tick, exchange, 'shed')
        return undefined
      }
      exchange.excluded.clear()
      candidates = findCandidates(tables, query, now)
    }
    // A suspect runs alone on a server, because a crash could not be attributed to it among other running requests.
    if (this.policies.suspicion.judge(tables, exchange) === 'suspect') candidates = candidates.filter(row => row.inFlight === 0)
    const { rate: affinityOf, isHomeAway } = rateAffinity(tables, exchange, () => findAffinityServers(tables, { service, allowedRegions, workMs: work.meanMs }, now), now)
    exchange.isHomeAway = isHomeAway
    const inTime = candidates.filter(row => this.#canFinish(tick, exchange, row, work))
    const allowed = this.#applyShiftPolicy(tick, exchange, inTime)
    const chosen = this.policies.choice.choose({ now, random, self: tables.gossip.self, candidates: allowed, affinityOf, concernsObject: exchange.affinity !== null, work, roundTrip: region => roundTripTime(tables.gossip, region) })
    if (chosen === undefined) return undefined
    exchange.objectAffinity = affinityOf(chosen)
    return chosen
  }

  // A request that a server has no chance to finish in time would only take capacity from others there.
  #canFinish ({ now, tables }: DispatchTick, exchange: ExchangeRow, backend: BackendRow, { meanMs, leastMs }: WorkEstimate): boolean {
    const startsAt = Math.max(now, findAvailableFrom(backend)) + roundTripTime(tables.gossip, backend.announcement.region) + expectedWait(backend, meanMs, now)
    return startsAt <= findLatestStart(exchange.deadline, { leastMs: leastMs * currentSlowness(backend, now) })
  }

  #applyShiftPolicy (tick: DispatchTick, exchange: ExchangeRow, candidates: readonly BackendRow[]): readonly BackendRow[] {
    const { tables, now } = tick
    const terms = findApprovedTerms(tables.configuration, exchange.service)
    if (terms === null) return []
    // If the route or the workspace restricts the regions, running there does not count as a shift.
    if (exchange.allowedRegions.length > 0) return candidates
    const home = tables.gossip.self.region
    const placement = this.policies.shift.place({
      tables,
      service: exchange.service,
      subject: shiftSubjectOf(exchange),
      terms,
      home,
      candidates,
      placement: exchange.placement,
      hasLiveHomeServer: hasLiveServer(tables, exchange.service, home),
      hasAnyLiveServer: hasLiveServer(tables, exchange.service, null),
      choiceWeighsDistance: this.policies.choice.weighsDistance,
      isHomeAway: exchange.isHomeAway,
      now
    })
    // A request above the shift cap is refused at once, because the cap does not change soon enough for waiting to help.
    if (placement.isCapped) this.#refuse(tick, exchange, 'shift-capped', this.#returnInNextWindow(tick, exchange, terms))
    return placement.candidates
  }

  #returnInNextWindow ({ tables, now, random }: DispatchTick, exchange: ExchangeRow, { shiftWindowMs }: ProfileTerms): Millis {
    const { windowStart } = findShiftAccount(tables, shiftSubjectOf(exchange), shiftWindowMs, now)
    return drawReturn(random, spreadOver(windowStart + shiftWindowMs - now, findUsefulTime(tables, exchange, now)))
  }

  #hasRestrictedServers (tick: DispatchTick, exchange: ExchangeRow): boolean {
    return exchange.excluded.size > 0 || exchange.allowedRegions.length > 0 || exchange.affinity !== null || this.policies.suspicion.judge(tick.tables, exchange) !== 'innocent'
  }

  #hasUntriedServer (tick: DispatchTick, exchange: ExchangeRow): boolean {
    for (const row of tick.tables.backends.group(exchange.service)) {
      if (!exchange.excluded.has(row.key) && findOutOfServiceReason(tick.tables, row) === null) return true
    }
    return false
  }

  #sendAttempt (tick: DispatchTick, exchange: ExchangeRow, backend: BackendRow): void {
    const admittedAt = exchange.admittedAt ?? tick.now
    const attempt = toId<AttemptId>(`${exchange.exchange}.${exchange.attemptsStarted + 1}`)
    exchange.phase = 'running'
    exchange.attempt = attempt
    exchange.backend = backend.key
    exchange.attempts += 1
    exchange.attemptsStarted += 1
    exchange.attemptStartedAt = tick.now
    exchange.outstandingAtStart = estimateOutstanding(backend, tick.now)
    recordObjectSent(tick.tables, exchange, backend, tick.now)
    this.#countStart(tick, exchange)
    if (exchange.attemptsStarted === 1) {
      this.policies.retries.countFirstSend(exchange.service)
      countRank(tick.tables, exchange.service, exchange.routeRank, tick.now)
    }
    recordColdSend(backend, tick.now)
    if (backend.inFlight === 0) backend.unansweredSince = tick.now
    backend.inFlight += 1
    countPlacement(tick, exchange, backend.announcement.region)
    const isSuspect = this.policies.suspicion.judge(tick.tables, exchange) === 'suspect'
    if (isSuspect) backend.reservedFor = exchange.exchange
    tick.tables.journal.append({
      at: tick.now,
      event: exchange.attempts > 1 ? 'retry' : 'attempt',
      subject: exchange.exchange,
      facts: { backend: backend.key, zone: backend.announcement.zone, inFlight: backend.inFlight, slots: backend.announcement.slots, admissionMs: admittedAt - exchange.receivedAt, queueMs: tick.now - admittedAt, isAway: exchange.isAway, choice: this.policies.choice.name, isSuspect },
      profile: profileLabel(tick.tables, exchange.service)
    })
    tick.tables.exchanges.put(exchange)
    tick.emit({
      kind: 'start-attempt',
      exchange: exchange.exchange,
      attempt,
      backend: backend.key,
      epoch: backend.announcement.epoch,
      backendName: backend.announcement.backend,
      target: backend.announcement.target,
      workspace: exchange.workspace,
      idempotent: exchange.idempotent,
      keepsAnswer: tick.tables.claims.has(exchange.exchange),
      timeoutMs: exchange.deadline - tick.now,
      admissionMs: admittedAt - exchange.receivedAt,
      queueMs: tick.now - admittedAt
    })
  }

  #refuseExpired (tick: DispatchTick, service: ServiceId): void {
    const hasServer = hasLiveServer(tick.tables, service, null)
    for (const exchange of tick.tables.exchanges.group(queueGroup(service))) {
      if (exchange.deadline <= tick.now) this.#refuse(tick, exchange, 'deadline')
      else if (tick.now > this.#latestStart(tick, exchange)) this.#refuse(tick, exchange, 'overloaded')
      else if (!hasServer && tick.now - exchange.receivedAt >= NO_SERVER_TIMEOUT_MS) this.#refuse(tick, exchange, 'no-backend')
    }
  }

  #refuse (tick: DispatchTick, exchange: ExchangeRow, reason: 'deadline' | 'no-backend' | 'service-removed' | 'servers-paused' | 'shed' | 'queue-full' | 'shift-capped' | 'overloaded', retryAfterMs?: Millis): void {
    journalRefusal(tick, exchange, reason, { waitedMs: tick.now - exchange.receivedAt, queued: tick.tables.exchanges.groupSize(queueGroup(exchange.service)) })
    tick.tables.exchanges.remove(exchange.exchange)
    endClaim(tick, exchange.exchange, { kind: exchange.mayHaveRun ? 'unknown' : 'released' })
    tick.emit(createRefusal(exchange.exchange, reason, { ran: exchange.mayHaveRun ? 'unknown' : 'not-run', retryAfterMs: retryAfterMs ?? this.#returnDelay(tick, exchange, reason) }))
  }

  #returnDelay (tick: DispatchTick, exchange: ExchangeRow, reason: RefusalReason): Millis | undefined {
    if (reason === 'deadline' || reason === 'service-removed') return undefined
    return drawReturn(tick.random, findRoom(tick.tables, exchange, tick.now))
  }
}

/** Enforces the rate limit of each workspace: admits a request for one token, holds it briefly while tokens are borrowed, or refuses it. */

import type { WorkspaceId } from '../core/id.js'
import { NEVER } from '../core/tick.js'
import type { Millis, System } from '../core/tick.js'
import type { Workspace } from '../configuration/types.js'
import { needsClaim } from '../idempotency/claimSystem.js'
import { createRefusal } from '../refusal/refusal.js'
import { journalRefusal } from '../exchange/refusalJournal.js'
import type { EventFacts } from '../journal/eventRegistry.js'
import type { JournalTables } from '../journal/journal.js'
import type { ExchangeRow, ExchangeTables, RequestRefused } from '../exchange/types.js'
import type { MessageReceived } from '../membership/types.js'
import { LOAN_DURATION_MS, countArrival, createAllowance, lend, lenderLoanExpiry, nextCreditExpiry, refill, resize, applySettlement, spendableTokens, takePendingSettlements, takeToken, updateDemand } from './allowanceBucket.js'
import { isGrantFresh } from './allowancePolicy.js'
import type { AllowancePolicy, AllowanceTables, AllowanceTick } from './allowancePolicy.js'
import type { AllowanceMessage, AllowanceRow } from './types.js'
import { countEntryHosts } from '../membership/entryHosts.js'
import { drawReturn, findUsefulTime, spreadOver } from '../exchange/returnTime.js'

/** Interval at which held requests are checked again while no borrowed tokens arrive. */
const RECHECK_INTERVAL_MS: Millis = 10
/** A lender reserves the tokens that its own callers are expected to need within this time. */
const LENDER_RESERVE_MS: Millis = 100
const MS_PER_SECOND = 1_000

type AdmittingTables = AllowanceTables & ExchangeTables & JournalTables
type AdmissionTick = AllowanceTick & { readonly tables: AdmittingTables, emit (row: RequestRefused): void }

/** Returns the token bucket of a workspace, created if missing and resized to this host's share of the current configuration. */
export const ensureAllowance = (tables: AllowanceTables, workspace: Workspace, now: Millis): AllowanceRow => {
  let row = tables.allowances.get(workspace.workspace)
  if (row === undefined) {
    row = createAllowance(workspace.workspace, now)
    tables.allowances.put(row)
  }
  const { rate, burst } = tables.parts.allowanceOf(tables, workspace, tables.gossip.self.host)
  resize(row, rate, burst, now)
  return row
}

const findAllowance = ({ allowances }: AdmittingTables, { workspace }: ExchangeRow): AllowanceRow | undefined =>
  workspace === null ? undefined : allowances.get(workspace)

export class AdmissionSystem implements System<AdmittingTables, { kind: string }, unknown> {
  readonly name = 'admission'
  #nextRecheckAt: Millis = NEVER
  #nextSettlementAt: Millis = NEVER
  #configurationIndex = -1

  constructor (readonly policy: AllowancePolicy) {}

  run (tick: AdmissionTick): void {
    this.#createBuckets(tick)
    for (const row of tick.inbox) {
      if ((row as { kind: string }).kind === 'message') this.#handleMessage(tick, row as MessageReceived<AllowanceMessage>)
    }
    this.#nextRecheckAt = NEVER
    if (tick.tables.exchanges.groupSize('admission') > 0) this.#admitAll(tick)
    if (tick.now >= this.#nextSettlementAt) this.#sendSettlements(tick)
  }

  deadline (): Millis { return Math.min(this.#nextRecheckAt, this.#nextSettlementAt) }

  #admitAll (tick: AdmissionTick): void {
    const activeWorkspaces = new Set<WorkspaceId>()
    for (const exchange of tick.tables.exchanges.group('admission')) {
      if (exchange.workspace !== null) activeWorkspaces.add(exchange.workspace)
      this.#admit(tick, exchange)
    }
    this.#requestTokens(tick, activeWorkspaces)
    if (tick.tables.exchanges.groupSize('admission') > 0) this.#nextRecheckAt = tick.now + RECHECK_INTERVAL_MS
  }

  // Returns the unspent tokens of expired credits to their lenders, where the demand may be now.
  #sendSettlements (tick: AdmissionTick): void {
    this.#nextSettlementAt = NEVER
    for (const allowance of tick.tables.allowances.rows()) {
      refill(allowance, tick.now)
      this.#nextSettlementAt = Math.min(this.#nextSettlementAt, nextCreditExpiry(allowance))
      for (const lender of [...allowance.settlements.keys()]) {
        const settled = takePendingSettlements(allowance, lender)
        const member = tick.tables.members.get(lender)?.member
        if (member === undefined) continue
        tick.emit({ kind: 'send', to: lender, address: member.link, message: { kind: 'token-settlement', workspace: allowance.workspace, settled } })
      }
    }
  }

  // Creates the bucket when a workspace first appears in the configuration, so that tokens have accrued before its first request.
  #createBuckets (tick: AdmissionTick): void {
    const { configuration } = tick.tables
    if (configuration.index === this.#configurationIndex) return
    this.#configurationIndex = configuration.index
    for (const workspace of configuration.workspaces.rows()) ensureAllowance(tick.tables, workspace, tick.now)
  }

  #handleMessage (tick: AdmissionTick, row: MessageReceived<AllowanceMessage>): void {
    const message = row.message
    if (message.kind === 'token-request') this.#handleTokenRequest(tick, row.from, message)
    if (message.kind === 'token-settlement') this.#handleSettlements(tick, message)
    if (message.kind === 'token-grant') this.#handleGrant(tick, row.from, message)
  }

  #handleTokenRequest (tick: AdmissionTick, from: MessageReceived<AllowanceMessage>['from'], message: Extract<AllowanceMessage, { kind: 'token-request' }>): void {
    const workspace = tick.tables.configuration.workspaces.get(message.workspace)
    const borrower = tick.tables.members.get(from)?.member
    if (workspace === undefined || borrower === undefined) return
    const allowance = ensureAllowance(tick.tables, workspace, tick.now)
    for (const settlement of message.settled) applySettlement(allowance, settlement, tick.now)
    updateDemand(allowance, tick.now)
    const reserve = allowance.held + allowance.demand * LENDER_RESERVE_MS / MS_PER_SECOND
    const amount = lend(allowance, message.ask, message.amount, reserve, tick.now, lenderLoanExpiry(tick.now))
    tick.emit({
      kind: 'send',
      to: from,
      address: borrower.link,
      message: { kind: 'token-grant', workspace: message.workspace, amount, left: Math.max(0, allowance.tokens - reserve), ask: message.ask }
    })
  }

  #handleSettlements (tick: AdmissionTick, message: Extract<AllowanceMessage, { kind: 'token-settlement' }>): void {
    const allowance = tick.tables.allowances.get(message.workspace)
    if (allowance === undefined) return
    for (const settlement of message.settled) applySettlement(allowance, settlement, tick.now)
  }

  #handleGrant (tick: AdmissionTick, from: MessageReceived<AllowanceMessage>['from'], message: Extract<AllowanceMessage, { kind: 'token-grant' }>): void {
    const allowance = tick.tables.allowances.get(message.workspace)
    if (allowance === undefined) return
    const sentAt = allowance.pendingAsks.get(message.ask)
    if (sentAt === undefined) return
    allowance.pendingAsks.delete(message.ask)
    allowance.lenders.set(from, { host: from, left: message.left, heardAt: tick.now })
    if (allowance.pendingAsks.size === 0 && message.amount === 0 && allowance.credits.length === 0) allowance.exhaustedAt = tick.now
    if (message.amount > 0 && isGrantFresh(sentAt, tick.now)) {
      allowance.credits.push({ lender: from, ask: message.ask, amount: message.amount, endsAt: sentAt + LOAN_DURATION_MS })
      this.#nextSettlementAt = Math.min(this.#nextSettlementAt, sentAt + LOAN_DURATION_MS)
    }
  }

  #admit (tick: AdmissionTick, exchange: ExchangeRow): void {
    const workspace = exchange.workspace === null ? undefined : tick.tables.configuration.workspaces.get(exchange.workspace)
    if (workspace === undefined) {
      this.#refuse(tick, exchange)
      return
    }
    const allowance = ensureAllowance(tick.tables, workspace, tick.now)
    if (exchange.receivedAt === tick.now) countArrival(allowance)
    if (takeToken(allowance, tick.now)) {
      exchange.phase = needsClaim(exchange) ? 'claiming' : 'queued'
      exchange.admittedAt = tick.now
      tick.tables.exchanges.put(exchange)
    } else if (tick.now >= this.#heldUntil(tick, exchange, allowance)) {
      this.#refuse(tick, exchange)
    }
  }

  // A request is held while borrowed tokens may come and a server may still finish it.
  #heldUntil (tick: AdmissionTick, exchange: ExchangeRow, allowance: AllowanceRow): Millis {
    const latestStart = tick.now + findUsefulTime(tick.tables, exchange, tick.now)
    return Math.min(latestStart, exchange.receivedAt + this.policy.maxHoldMs(allowance, tick.now))
  }

  #refuse (tick: AdmissionTick, exchange: ExchangeRow): void {
    const allowance = findAllowance(tick.tables, exchange)
    tick.tables.exchanges.remove(exchange.exchange)
    journalRefusal(tick, exchange, 'over-rate', this.#refusalFacts(tick, exchange))
    tick.emit(createRefusal(exchange.exchange, 'over-rate', { retryAfterMs: this.#returnDelay(tick, exchange, allowance) }))
  }

  // The caller returns when a token may have accrued for it, here or on another host.
  #returnDelay (tick: AdmissionTick, exchange: ExchangeRow, allowance: AllowanceRow | undefined): Millis | undefined {
    const workspace = exchange.workspace === null ? undefined : tick.tables.configuration.workspaces.get(exchange.workspace)
    if (workspace === undefined || allowance === undefined) return undefined
    const ratePerS = Math.max(allowance.rate, workspace.rate / countEntryHosts(tick.tables))
    if (ratePerS <= 0) return undefined
    const missing = Math.max(0, 1 + allowance.held - spendableTokens(allowance))
    return drawReturn(tick.random, spreadOver(missing * MS_PER_SECOND / ratePerS, findUsefulTime(tick.tables, exchange, tick.now)))
  }

  #refusalFacts (tick: AdmissionTick, exchange: ExchangeRow): EventFacts<'refused'> {
    const allowance = findAllowance(tick.tables, exchange)
    if (allowance === undefined) return { workspace: exchange.workspace }
    const { rate, burst, tokens, demand, credits } = allowance
    return { workspace: exchange.workspace, ownRate: rate, ownBurst: burst, tokens, demand, credits: credits.length, heldMs: tick.now - exchange.receivedAt, policy: this.policy.name }
  }

  #requestTokens (tick: AdmissionTick, activeWorkspaces: ReadonlySet<WorkspaceId>): void {
    const held = new Map<WorkspaceId, number>()
    for (const exchange of tick.tables.exchanges.group('admission')) {
      if (exchange.workspace !== null) held.set(exchange.workspace, (held.get(exchange.workspace) ?? 0) + 1)
    }
    for (const workspace of activeWorkspaces) {
      const allowance = tick.tables.allowances.get(workspace)
      if (allowance === undefined) continue
      allowance.held = held.get(workspace) ?? 0
      updateDemand(allowance, tick.now)
      refill(allowance, tick.now)
      this.policy.requestTokens(tick, allowance)
    }
  }
}

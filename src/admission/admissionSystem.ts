/** Grants each request one token of its workspace, holds it briefly for tokens from elsewhere, or refuses it. */

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
import { LOAN_DURATION_MS, countArrival, createAllowance, lend, lenderLoanExpiry, nextCreditExpiry, refill, resize, applySettlement, takePendingSettlements, takeToken, updateDemand } from './allowanceBucket.js'
import { isGrantFresh } from './allowancePolicy.js'
import type { AllowancePolicy, AllowanceTables, AllowanceTick } from './allowancePolicy.js'
import type { AllowanceMessage, AllowanceRow } from './types.js'

/** How often held requests are looked at again without new tokens from elsewhere. */
const RECHECK_INTERVAL_MS: Millis = 10
/** A lender keeps back what its own callers are expected to need in this time. */
const LENDER_RESERVE_MS: Millis = 100
const MS_PER_SECOND = 1_000

type AdmittingTables = AllowanceTables & ExchangeTables & JournalTables
type AdmissionTick = AllowanceTick & { readonly tables: AdmittingTables, emit (row: RequestRefused): void }

/** The bucket of a workspace, sized to this host's part of the present configuration. */
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

/** The system of admission. */
export class AdmissionSystem implements System<AdmittingTables, { kind: string }, unknown> {
  readonly name = 'admission'
  #recheckAt: Millis = NEVER
  #settleAt: Millis = NEVER
  #configurationIndex = -1

  constructor (readonly policy: AllowancePolicy) {}

  run (tick: AdmissionTick): void {
    this.#prepare(tick)
    for (const row of tick.inbox) {
      if ((row as { kind: string }).kind === 'message') this.#takeMessage(tick, row as MessageReceived<AllowanceMessage>)
    }
    this.#recheckAt = NEVER
    if (tick.tables.exchanges.groupSize('admission') > 0) this.#admitAll(tick)
    if (tick.now >= this.#settleAt) this.#settle(tick)
  }

  deadline (): Millis { return Math.min(this.#recheckAt, this.#settleAt) }

  #admitAll (tick: AdmissionTick): void {
    const touched = new Set<WorkspaceId>()
    for (const exchange of tick.tables.exchanges.group('admission')) {
      if (exchange.workspace !== null) touched.add(exchange.workspace)
      this.#admit(tick, exchange)
    }
    this.#seekTokens(tick, touched)
    if (tick.tables.exchanges.groupSize('admission') > 0) this.#recheckAt = tick.now + RECHECK_INTERVAL_MS
  }

  // Unspent tokens go back as soon as they can no longer be spent here: demand has moved elsewhere.
  #settle (tick: AdmissionTick): void {
    this.#settleAt = NEVER
    for (const allowance of tick.tables.allowances.rows()) {
      refill(allowance, tick.now)
      this.#settleAt = Math.min(this.#settleAt, nextCreditExpiry(allowance))
      for (const lender of [...allowance.settlements.keys()]) {
        const settled = takePendingSettlements(allowance, lender)
        const member = tick.tables.members.get(lender)?.member
        if (member === undefined) continue
        tick.emit({ kind: 'send', to: lender, address: member.link, message: { kind: 'token-settlement', workspace: allowance.workspace, settled } })
      }
    }
  }

  // Buckets exist from the first sight of a workspace so that they have earned tokens when its callers arrive.
  #prepare (tick: AdmissionTick): void {
    const { configuration } = tick.tables
    if (configuration.index === this.#configurationIndex) return
    this.#configurationIndex = configuration.index
    for (const workspace of configuration.workspaces.rows()) ensureAllowance(tick.tables, workspace, tick.now)
  }

  #takeMessage (tick: AdmissionTick, row: MessageReceived<AllowanceMessage>): void {
    const message = row.message
    if (message.kind === 'token-request') this.#answerRequest(tick, row.from, message)
    if (message.kind === 'token-settlement') this.#takeSettlements(tick, message)
    if (message.kind === 'token-grant') this.#takeGrant(tick, row.from, message)
  }

  #answerRequest (tick: AdmissionTick, from: MessageReceived<AllowanceMessage>['from'], message: Extract<AllowanceMessage, { kind: 'token-request' }>): void {
    const workspace = tick.tables.configuration.workspaces.get(message.workspace)
    const borrower = tick.tables.members.get(from)?.member
    if (workspace === undefined || borrower === undefined) return
    const allowance = ensureAllowance(tick.tables, workspace, tick.now)
    for (const settlement of message.settled) applySettlement(allowance, settlement, tick.now)
    updateDemand(allowance, tick.now)
    const keep = allowance.held + allowance.demand * LENDER_RESERVE_MS / MS_PER_SECOND
    const amount = lend(allowance, message.ask, message.amount, keep, tick.now, lenderLoanExpiry(tick.now))
    tick.emit({
      kind: 'send',
      to: from,
      address: borrower.link,
      message: { kind: 'token-grant', workspace: message.workspace, amount, left: Math.max(0, allowance.tokens - keep), ask: message.ask }
    })
  }

  #takeSettlements (tick: AdmissionTick, message: Extract<AllowanceMessage, { kind: 'token-settlement' }>): void {
    const allowance = tick.tables.allowances.get(message.workspace)
    if (allowance === undefined) return
    for (const settlement of message.settled) applySettlement(allowance, settlement, tick.now)
  }

  #takeGrant (tick: AdmissionTick, from: MessageReceived<AllowanceMessage>['from'], message: Extract<AllowanceMessage, { kind: 'token-grant' }>): void {
    const allowance = tick.tables.allowances.get(message.workspace)
    if (allowance === undefined) return
    const sentAt = allowance.pendingAsks.get(message.ask)
    if (sentAt === undefined) return
    allowance.pendingAsks.delete(message.ask)
    allowance.lenders.set(from, { host: from, left: message.left, heardAt: tick.now })
    if (allowance.pendingAsks.size === 0 && message.amount === 0 && allowance.credits.length === 0) allowance.exhaustedAt = tick.now
    if (message.amount > 0 && isGrantFresh(sentAt, tick.now)) {
      allowance.credits.push({ lender: from, ask: message.ask, amount: message.amount, endsAt: sentAt + LOAN_DURATION_MS })
      this.#settleAt = Math.min(this.#settleAt, sentAt + LOAN_DURATION_MS)
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
    } else if (tick.now >= Math.min(exchange.deadline, exchange.receivedAt + this.policy.maxHoldMs(allowance, tick.now))) {
      this.#refuse(tick, exchange)
    }
  }

  #refuse (tick: AdmissionTick, exchange: ExchangeRow): void {
    tick.tables.exchanges.remove(exchange.exchange)
    journalRefusal(tick, exchange, 'over-rate', this.#figures(tick, exchange))
    tick.emit(createRefusal(exchange.exchange, 'over-rate'))
  }

  #figures (tick: AdmissionTick, exchange: ExchangeRow): EventFacts<'refused'> {
    const allowance = exchange.workspace === null ? undefined : tick.tables.allowances.get(exchange.workspace)
    if (allowance === undefined) return { workspace: exchange.workspace }
    const { rate, burst, tokens, demand, credits } = allowance
    return { workspace: exchange.workspace, ownRate: rate, ownBurst: burst, tokens, demand, credits: credits.length, heldMs: tick.now - exchange.receivedAt, policy: this.policy.name }
  }

  #seekTokens (tick: AdmissionTick, touched: ReadonlySet<WorkspaceId>): void {
    const held = new Map<WorkspaceId, number>()
    for (const exchange of tick.tables.exchanges.group('admission')) {
      if (exchange.workspace !== null) held.set(exchange.workspace, (held.get(exchange.workspace) ?? 0) + 1)
    }
    for (const workspace of touched) {
      const allowance = tick.tables.allowances.get(workspace)
      if (allowance === undefined) continue
      allowance.held = held.get(workspace) ?? 0
      updateDemand(allowance, tick.now)
      refill(allowance, tick.now)
      this.policy.requestTokens(tick, allowance)
    }
  }
}

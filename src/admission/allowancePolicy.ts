/** Ways to make a workspace's allowance follow its demand between hosts; none of them may grant more than the whole. */

import type { HostId } from '../core/id.js'
import type { Millis, Tick } from '../core/tick.js'
import type { LookupTables } from '../lookup/lookupSystem.js'
import type { Member, MessageSent } from '../membership/types.js'
import type { AllowanceShare } from './allowanceParts.js'
import { LOAN_DURATION_MS, refill, spendableTokens, takePendingSettlements } from './allowanceBucket.js'
import type { AdmissionTables, AllowanceMessage, AllowanceRow, LenderBalance } from './types.js'

/** Tables that admission reads and writes. */
export type AllowanceTables = AdmissionTables & LookupTables
/** One tick as seen by admission. */
export type AllowanceTick = Tick<AllowanceTables, unknown, MessageSent<AllowanceMessage>>

/** How a host that runs short gets tokens. */
export interface AllowancePolicy {
  readonly name: string
  /** How long a request may wait for tokens from elsewhere. */
  maxHoldMs (row: AllowanceRow, now: Millis): Millis
  /** Called when a host has fewer tokens than it needs. */
  requestTokens (tick: AllowanceTick, row: AllowanceRow): void
}

/** The baseline: each host keeps to its own part. */
export class FixedPartPolicy implements AllowancePolicy {
  readonly name = 'fixed-part'
  maxHoldMs (): Millis { return 0 }

  requestTokens (): void {}
}

/** How long a request waits for tokens, by default. */
export const DEFAULT_HOLD_MS: Millis = 500
/** Pause between two rounds of asking. */
const DEFAULT_ASK_INTERVAL_MS: Millis = 40
/** Demand that is asked for ahead of its arrival, by default. */
export const DEFAULT_LOOKAHEAD_MS: Millis = 350
/** Hosts asked in one round. */
const DEFAULT_MAX_LENDERS = 32

const allowanceAt = (tables: AllowanceTables, row: AllowanceRow, host: HostId): AllowanceShare => {
  const workspace = tables.configuration.workspaces.get(row.workspace)
  return workspace === undefined ? { rate: 0, burst: 0 } : tables.parts.allowanceOf(tables, workspace, host)
}

const MS_PER_SECOND = 1_000

// A lender that was never asked is taken to be full.
const estimateAvailable = (tables: AllowanceTables, row: AllowanceRow, lender: LenderBalance | undefined, host: HostId, now: Millis): number => {
  const part = allowanceAt(tables, row, host)
  if (lender === undefined) return part.burst
  return Math.min(part.burst, lender.left + part.rate * (now - lender.heardAt) / MS_PER_SECOND)
}

const distanceTier = (member: Member, self: Member): number => {
  if (member.zone === self.zone) return 0
  return member.region === self.region ? 1 : 2
}

/** How tokens are borrowed. */
export interface LendingOptions {
  /** Demand that is asked for ahead of its arrival. */
  readonly lookaheadMs: Millis
  /** How long a request waits for tokens. */
  readonly holdMs: Millis
  /** Pause between two rounds of asking. */
  readonly askIntervalMs: Millis
  /** Hosts asked in one round. */
  readonly maxLenders: number
  /** How long nobody is asked after a round without a token; requests are then refused at once. */
  readonly exhaustedBackoffMs: Millis
}

/** Few messages for a fleet on small links: fewer hosts are asked, less often, and for more at a time. */
export const FRUGAL_LENDING: Partial<LendingOptions> = { lookaheadMs: 300, holdMs: 200, askIntervalMs: 40, maxLenders: 6, exhaustedBackoffMs: 100 }

/** Borrows tokens from other hosts for a short time, nearest lenders first. */
export class LendingPolicy implements AllowancePolicy {
  readonly name = 'lending'

  readonly #terms: LendingOptions

  constructor (terms: Partial<LendingOptions> = {}) {
    this.#terms = { lookaheadMs: DEFAULT_LOOKAHEAD_MS, holdMs: DEFAULT_HOLD_MS, askIntervalMs: DEFAULT_ASK_INTERVAL_MS, maxLenders: DEFAULT_MAX_LENDERS, exhaustedBackoffMs: 0, ...terms }
  }

  maxHoldMs (row: AllowanceRow, now: Millis): Millis { return this.#isDry(row, now) ? 0 : this.#terms.holdMs }

  // After a round of answers without a token the whole fleet has none left, and asking again at once would not help.
  #isDry (row: AllowanceRow, now: Millis): boolean { return now < row.exhaustedAt + this.#terms.exhaustedBackoffMs }

  requestTokens (tick: AllowanceTick, row: AllowanceRow): void {
    if (tick.now < row.nextAskAt || this.#isDry(row, tick.now)) return
    refill(row, tick.now)
    const wanted = row.held + row.demand * this.#terms.lookaheadMs / MS_PER_SECOND - spendableTokens(row)
    if (wanted <= 0) return
    row.nextAskAt = tick.now + this.#terms.askIntervalMs
    this.#ask(tick, row, wanted)
  }

  #ask (tick: AllowanceTick, row: AllowanceRow, wanted: number): void {
    let missing = wanted
    let asked = 0
    for (const { member, available } of this.#lenders(tick, row)) {
      if (missing <= 0 || asked >= this.#terms.maxLenders) return
      const amount = Math.min(missing, available)
      missing -= amount
      asked += 1
      const ask = this.#openAsk(tick, row)
      // Until the answer comes, what was asked for counts as taken.
      row.lenders.set(member.host, { host: member.host, left: available - amount, heardAt: tick.now })
      tick.emit({ kind: 'send', to: member.host, address: member.link, message: { kind: 'token-request', workspace: row.workspace, amount, ask, settled: takePendingSettlements(row, member.host) } })
    }
  }

  // The host keeps the loans of two borrowers apart at their lender; the epoch keeps a grant to an earlier process from being taken by this one.
  #openAsk (tick: AllowanceTick, row: AllowanceRow): string {
    for (const [ask, sentAt] of row.pendingAsks) {
      if (isGrantFresh(sentAt, tick.now)) break
      row.pendingAsks.delete(ask)
    }
    row.askCount += 1
    const { host, epoch } = tick.tables.gossip.self
    const ask = `${host}/${epoch}/${row.askCount}`
    row.pendingAsks.set(ask, tick.now)
    return ask
  }

  #lenders (tick: AllowanceTick, row: AllowanceRow): Array<{ member: Member, available: number }> {
    const self = tick.tables.gossip.self
    const lenders: Array<{ member: Member, available: number, distance: number }> = []
    for (const { member } of tick.tables.members.rows()) {
      if (member.host === self.host || member.role !== 'entry' || member.state === 'dead') continue
      const available = estimateAvailable(tick.tables, row, row.lenders.get(member.host), member.host, tick.now)
      if (available < MIN_LOAN_TOKENS) continue
      lenders.push({ member, available, distance: distanceTier(member, self) })
    }
    return lenders.sort((a, b) => a.distance - b.distance || b.available - a.available)
  }
}

/** Loans below this many tokens are not worth a message. */
export const MIN_LOAN_TOKENS = 0.02

/** Whether a grant still has time to be spent. */
export const isGrantFresh = (sentAt: Millis, now: Millis): boolean => now < sentAt + LOAN_DURATION_MS

/** Policies that move a workspace's rate limit between hosts as its demand moves. No policy may grant more than the limit. */

import type { HostId } from '../core/id.js'
import type { Millis, Tick } from '../core/tick.js'
import type { LookupTables } from '../lookup/lookupSystem.js'
import type { Member, MessageSent } from '../membership/types.js'
import { LOAN_DURATION_MS, refill, spendableTokens, takePendingSettlements } from './allowanceBucket.js'
import type { AllowanceShare } from './allowanceShare.js'
import type { AdmissionTables, AllowanceMessage, AllowanceRow, LenderBalance } from './types.js'

/** Tables that admission reads and writes. */
export type AllowanceTables = AdmissionTables & LookupTables
/** One tick as seen by admission. */
export type AllowanceTick = Tick<AllowanceTables, unknown, MessageSent<AllowanceMessage>>

/** Decides how a host with too few tokens gets more. */
export interface AllowancePolicy {
  readonly name: string
  /** Returns how long a request may be held for borrowed tokens. */
  maxHoldMs (row: AllowanceRow, now: Millis): Millis
  /** Called in each tick for every workspace that had requests waiting for admission. */
  requestTokens (tick: AllowanceTick, row: AllowanceRow): void
}

/** The baseline: each host grants only its own share. */
export class FixedPartPolicy implements AllowancePolicy {
  readonly name = 'fixed-part'
  maxHoldMs (): Millis { return 0 }

  requestTokens (): void {}
}

/** Default pause between two rounds of token requests. */
const DEFAULT_ASK_INTERVAL_MS: Millis = 40
/** Default lookahead: a round requests tokens for the demand expected within this time. */
export const DEFAULT_LOOKAHEAD_MS: Millis = 350
/** Default number of hosts that receive a token request in one round. */
const DEFAULT_MAX_LENDERS = 32

const allowanceAt = (tables: AllowanceTables, row: AllowanceRow, host: HostId): AllowanceShare => {
  const workspace = tables.configuration.workspaces.get(row.workspace)
  return workspace === undefined ? { rate: 0, burst: 0 } : tables.parts.allowanceOf(tables, workspace, host)
}

const MS_PER_SECOND = 1_000

// Estimates the tokens at another host. Assumes a full bucket where no balance is known.
const estimateAvailable = (tables: AllowanceTables, row: AllowanceRow, lender: LenderBalance | undefined, host: HostId, now: Millis): number => {
  const share = allowanceAt(tables, row, host)
  if (lender === undefined) return share.burst
  return Math.min(share.burst, lender.left + share.rate * (now - lender.heardAt) / MS_PER_SECOND)
}

const distanceTier = (member: Member, self: Member): number => {
  if (member.zone === self.zone) return 0
  return member.region === self.region ? 1 : 2
}

/** Settings of a LendingPolicy. */
export interface LendingOptions {
  /** A round requests tokens for the demand expected within this time. */
  readonly lookaheadMs: Millis
  /** Pause between two rounds of token requests. */
  readonly askIntervalMs: Millis
  /** Number of hosts that receive a token request in one round. */
  readonly maxLenders: number
  /** Backoff after a round that brought no token. Until it ends, no host is asked and requests are refused without being held. */
  readonly exhaustedBackoffMs: Millis
}

/** Lending with fewer messages, for fleets on low-bandwidth links: asks fewer hosts and backs off after a round without a token. */
export const FRUGAL_LENDING: Partial<LendingOptions> = { lookaheadMs: 300, askIntervalMs: 40, maxLenders: 6, exhaustedBackoffMs: 100 }

/** Borrows tokens from other hosts for a limited time, from the nearest first. */
export class LendingPolicy implements AllowancePolicy {
  readonly name = 'lending'

  readonly #options: LendingOptions

  constructor (options: Partial<LendingOptions> = {}) {
    this.#options = { lookaheadMs: DEFAULT_LOOKAHEAD_MS, askIntervalMs: DEFAULT_ASK_INTERVAL_MS, maxLenders: DEFAULT_MAX_LENDERS, exhaustedBackoffMs: 0, ...options }
  }

  // Tokens that are asked for when a request arrives may be spent for as long as a loan lasts.
  maxHoldMs (row: AllowanceRow, now: Millis): Millis { return this.#isExhausted(row, now) ? 0 : LOAN_DURATION_MS }

  // After a round without a token the other hosts are taken to have none left, so that further requests would only add messages.
  #isExhausted (row: AllowanceRow, now: Millis): boolean { return now < row.exhaustedAt + this.#options.exhaustedBackoffMs }

  requestTokens (tick: AllowanceTick, row: AllowanceRow): void {
    if (tick.now < row.nextAskAt || this.#isExhausted(row, tick.now)) return
    refill(row, tick.now)
    const wanted = row.held + row.demand * this.#options.lookaheadMs / MS_PER_SECOND - spendableTokens(row)
    if (wanted <= 0) return
    row.nextAskAt = tick.now + this.#options.askIntervalMs
    this.#sendTokenRequests(tick, row, wanted)
  }

  #sendTokenRequests (tick: AllowanceTick, row: AllowanceRow, wanted: number): void {
    let missing = wanted
    let asked = 0
    for (const { member, available } of this.#findLenders(tick, row)) {
      if (missing <= 0 || asked >= this.#options.maxLenders) return
      const amount = Math.min(missing, available)
      missing -= amount
      asked += 1
      const ask = this.#createAsk(tick, row)
      // Counts the requested amount as lent until the grant arrives.
      row.lenders.set(member.host, { host: member.host, left: available - amount, heardAt: tick.now })
      tick.emit({ kind: 'send', to: member.host, address: member.link, message: { kind: 'token-request', workspace: row.workspace, amount, ask, settled: takePendingSettlements(row, member.host) } })
    }
  }

  // The id of a token request names the host, so that a lender can tell its borrowers apart, and the epoch, so that a grant
  // to an earlier process of this host is not accepted.
  #createAsk (tick: AllowanceTick, row: AllowanceRow): string {
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

  #findLenders (tick: AllowanceTick, row: AllowanceRow): Array<{ member: Member, available: number }> {
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

/** Smallest estimated balance, in tokens, that is worth a token request. */
export const MIN_LOAN_TOKENS = 0.02

/** Whether tokens requested at sentAt may still be spent. */
export const isGrantFresh = (sentAt: Millis, now: Millis): boolean => now < sentAt + LOAN_DURATION_MS

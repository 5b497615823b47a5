/** Claims each non-idempotent request at a majority of its key's homes before it may be queued. */

import type { HostId } from '../core/id.js'
import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import type { Configuration } from '../configuration/configurationTables.js'
import { createRefusal } from '../refusal/refusal.js'
import type { ExchangeRow, ExchangeTables, RefusalReason, RequestRefused } from '../exchange/types.js'
import type { MessageReceived, MessageSent } from '../membership/types.js'
import { majorityCount, recordKey } from './recordPlacement.js'
import type { RecordPlacement } from './recordPlacement.js'
import { RECORD_RETENTION_MS, recordClaimEnd, expireRecords, voteOnClaim } from './recordKeeping.js'
import type { RecordHostTables } from './recordKeeping.js'
import type { AnswerReplayed, ClaimEnd, ClaimRow, ClaimVote, RecordMessage } from './types.js'

/** How long homes may take to vote. */
export const CLAIM_TIMEOUT_MS: Millis = 1_000

/** Tables that claims work on. */
export type ClaimTables = RecordHostTables & ExchangeTables & { readonly configuration: Configuration }
type ClaimInput = MessageReceived<RecordMessage> | { readonly kind: 'other' }
type ClaimOutput = MessageSent<RecordMessage> | RequestRefused | AnswerReplayed
/** One tick as seen by claims. */
export type ClaimTick = Tick<ClaimTables, ClaimInput, ClaimOutput>

/** Whether an exchange must be claimed before it runs. */
export const needsClaim = (exchange: ExchangeRow): boolean =>
  !exchange.idempotent && exchange.idempotencyKey !== null && exchange.workspace !== null

/** What ending a claim needs of a tick. */
export interface ClaimEndTick {
  readonly now: Millis
  readonly tables: ClaimTables
  emit (row: MessageSent<RecordMessage>): void
}

const sendToRecordHost = (tick: ClaimEndTick, home: HostId, message: RecordMessage): void => {
  const member = tick.tables.members.get(home)?.member
  if (member !== undefined) tick.emit({ kind: 'send', to: home, address: member.link, message })
}

/** Tells the homes how an exchange's claim has ended. */
export const endClaim = (tick: ClaimEndTick, exchange: ExchangeRow['exchange'], end: ClaimEnd): void => {
  const claim = tick.tables.claims.get(exchange)
  if (claim === undefined) return
  tick.tables.claims.remove(exchange)
  const message = { kind: 'claim-end', key: claim.key, claim: exchange, end } as const
  for (const home of claim.recordHosts) {
    if (home === tick.tables.gossip.self.host) recordClaimEnd(tick.tables, message, tick.now)
    else sendToRecordHost(tick, home, message)
  }
}

const refusalReason = (vote: ClaimVote): RefusalReason => {
  switch (vote.kind) {
    case 'mismatch': return 'idempotency-mismatch'
    case 'running': return 'already-running'
    default: return 'earlier-outcome-unknown'
  }
}

const DECISIVE_VOTES: ReadonlyArray<ClaimVote['kind']> = ['finished', 'mismatch', 'unknown', 'running']

/** The system of claims and records. */
export class ClaimSystem implements System<ClaimTables, ClaimInput, ClaimOutput> {
  readonly name = 'claim'
  #earliest: Millis = NEVER

  constructor (readonly placement: RecordPlacement) {}

  run (tick: ClaimTick): void {
    this.#noteHomes(tick)
    for (const row of tick.inbox) {
      if (row.kind === 'message') this.#takeMessage(tick, row)
    }
    for (const exchange of tick.tables.exchanges.group('claiming')) this.#claim(tick, exchange)
    if (tick.now >= this.#earliest) this.#expire(tick)
  }

  deadline (): Millis { return this.#earliest }

  // A host that has just become a key's home has not seen the claims before that.
  #noteHomes (tick: ClaimTick): void {
    const { homeHistory, configuration } = tick.tables
    if (homeHistory.revision === configuration.entryHosts.revision) return
    const hosts = [...configuration.entryHosts.rows()].map(({ host, zone }) => ({ host, zone: zone as string }))
    if (homeHistory.current.length > 0) homeHistory.changes.push({ at: tick.now, hosts: homeHistory.current })
    homeHistory.changes = homeHistory.changes.filter(change => tick.now - change.at < RECORD_RETENTION_MS)
    homeHistory.current = hosts
    homeHistory.revision = configuration.entryHosts.revision
  }

  #takeMessage (tick: ClaimTick, row: MessageReceived<RecordMessage>): void {
    const { message, from } = row
    if (message.kind === 'claim') {
      expireRecords(tick.tables, tick.now)
      const vote = voteOnClaim(tick.tables, this.placement, from, message, tick.now)
      sendToRecordHost(tick, from, { kind: 'claim-vote', claim: message.claim, vote })
    } else if (message.kind === 'claim-vote') {
      this.#count(tick, from, message.claim, message.vote)
    } else if (message.kind === 'claim-end') {
      recordClaimEnd(tick.tables, message, tick.now)
    }
  }

  #claim (tick: ClaimTick, exchange: ExchangeRow): void {
    const { claims, homeHistory, gossip } = tick.tables
    if (claims.has(exchange.exchange) || exchange.workspace === null || exchange.idempotencyKey === null) return
    const key = recordKey(exchange.workspace, exchange.idempotencyKey)
    const homes = this.placement.recordHosts(homeHistory.current, key, exchange.idempotencyKey)
    const deadline = Math.min(exchange.deadline, tick.now + CLAIM_TIMEOUT_MS)
    claims.put({ exchange: exchange.exchange, key, recordHosts: homes, votes: new Map(), deadline, isGranted: false })
    this.#earliest = Math.min(this.#earliest, deadline)
    if (exchange.ticketAgeMs !== null && exchange.ticketAgeMs >= RECORD_RETENTION_MS) {
      this.#refuse(tick, exchange, { kind: 'unknown' })
      return
    }
    if (homes.length === 0) this.#grant(tick, exchange)
    const message = { kind: 'claim', key, fingerprint: exchange.fingerprint, claim: exchange.exchange, ownerEpoch: gossip.self.epoch, ticketAgeMs: exchange.ticketAgeMs } as const
    for (const home of homes) {
      if (home !== gossip.self.host) sendToRecordHost(tick, home, message)
      else this.#count(tick, home, exchange.exchange, voteOnClaim(tick.tables, this.placement, home, message, tick.now))
    }
  }

  #count (tick: ClaimTick, from: HostId, id: ClaimRow['exchange'], vote: ClaimVote): void {
    const claim = tick.tables.claims.get(id)
    const exchange = tick.tables.exchanges.get(id)
    if (claim === undefined || claim.isGranted || exchange?.phase !== 'claiming' || !claim.recordHosts.includes(from)) return
    claim.votes.set(from, vote)
    const votes = [...claim.votes.values()]
    for (const kind of DECISIVE_VOTES) {
      const decisive = votes.find(one => one.kind === kind)
      if (decisive === undefined) continue
      if (decisive.kind === 'finished' && decisive.answer !== null) this.#replay(tick, exchange, decisive.answer)
      else this.#refuse(tick, exchange, decisive)
      return
    }
    const granted = votes.filter(one => one.kind === 'granted').length
    const needed = majorityCount(claim.recordHosts)
    if (granted >= needed) this.#grant(tick, exchange)
    else if (votes.length - granted > claim.recordHosts.length - needed) this.#refuse(tick, exchange, { kind: 'unknown' })
  }

  #grant (tick: ClaimTick, exchange: ExchangeRow): void {
    const claim = tick.tables.claims.get(exchange.exchange)
    if (claim !== undefined) claim.isGranted = true
    exchange.phase = 'queued'
    tick.tables.exchanges.put(exchange)
  }

  #refuse (tick: ClaimTick, exchange: ExchangeRow, vote: ClaimVote): void {
    tick.tables.exchanges.remove(exchange.exchange)
    endClaim(tick, exchange.exchange, { kind: 'released' })
    tick.emit(createRefusal(exchange.exchange, refusalReason(vote)))
  }

  #replay (tick: ClaimTick, exchange: ExchangeRow, answer: AnswerReplayed['answer']): void {
    tick.tables.exchanges.remove(exchange.exchange)
    endClaim(tick, exchange.exchange, { kind: 'released' })
    tick.emit({ kind: 'replay-answer', exchange: exchange.exchange, answer })
  }

  #expire (tick: ClaimTick): void {
    this.#earliest = NEVER
    for (const exchange of tick.tables.exchanges.group('claiming')) {
      const deadline = tick.tables.claims.get(exchange.exchange)?.deadline ?? tick.now
      if (deadline <= tick.now) this.#refuse(tick, exchange, { kind: 'unknown' })
      else this.#earliest = Math.min(this.#earliest, deadline)
    }
  }
}

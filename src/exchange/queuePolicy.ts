/** Ways to order the queue of a service among workspaces. */

import type { ExchangeRow } from './types.js'

/** What a policy knows about the workspaces that wait. */
export interface QueueView {
  readonly queued: readonly ExchangeRow[]
  /** Running attempts of a workspace for this service. */
  running (workspace: string): number
  weight (workspace: string): number
}

/** Orders a service's queue. */
export interface QueuePolicy {
  readonly name: string
  /** The exchange to serve next. */
  next (view: QueueView): ExchangeRow | undefined
  /** The exchange to refuse when the queue is full. */
  victim (view: QueueView): ExchangeRow | undefined
}

/** The owner of an exchange for fairness; open routes share one account. */
export const accountOf = (exchange: ExchangeRow): string => exchange.workspace ?? ''

/** The baseline: first come, first served. */
export class FifoQueue implements QueuePolicy {
  readonly name = 'first-come'

  next (view: QueueView): ExchangeRow | undefined { return view.queued[0] }

  victim (view: QueueView): ExchangeRow | undefined { return view.queued.at(-1) }
}

/** The most urgent rank first; within it, weighted max-min fairness. */
export class RankedMaxMinQueue implements QueuePolicy {
  readonly name = 'ranked-max-min'
  readonly #fair = new MaxMinQueue()

  next (view: QueueView): ExchangeRow | undefined { return this.#fair.next(this.#only(view, Math.min)) }

  victim (view: QueueView): ExchangeRow | undefined { return this.#fair.victim(this.#only(view, Math.max)) }

  #only (view: QueueView, better: (a: number, b: number) => number): QueueView {
    const rank = view.queued.reduce((best, row) => better(best, row.rank), view.queued[0]?.rank ?? 0)
    return { ...view, queued: view.queued.filter(row => row.rank === rank) }
  }
}

/** Weighted max-min fairness: the workspace with the least running work for its weight goes first. */
export class MaxMinQueue implements QueuePolicy {
  readonly name = 'max-min'

  next (view: QueueView): ExchangeRow | undefined {
    let best: ExchangeRow | undefined
    let least = Number.POSITIVE_INFINITY
    const seen = new Set<string>()
    for (const exchange of view.queued) {
      const account = accountOf(exchange)
      if (seen.has(account)) continue
      seen.add(account)
      const share = view.running(account) / view.weight(account)
      if (share >= least) continue
      least = share
      best = exchange
    }
    return best
  }

  victim (view: QueueView): ExchangeRow | undefined {
    const newest = new Map<string, ExchangeRow>()
    const demand = new Map<string, number>()
    for (const exchange of view.queued) {
      const account = accountOf(exchange)
      newest.set(account, exchange)
      demand.set(account, (demand.get(account) ?? 0) + 1)
    }
    let worst: ExchangeRow | undefined
    let most = Number.NEGATIVE_INFINITY
    for (const [account, exchange] of newest) {
      const share = ((demand.get(account) ?? 0) + view.running(account)) / view.weight(account)
      if (share <= most) continue
      most = share
      worst = exchange
    }
    return worst
  }
}

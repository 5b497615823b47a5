/** Policies that order the queue of a service among workspaces. */

import type { ExchangeRow } from './types.js'

/** The queue of a service, with the load and the weight of each workspace. */
export interface QueueView {
  readonly queued: readonly ExchangeRow[]
  /** Running attempts of a workspace for this service. */
  running (workspace: string): number
  weight (workspace: string): number
  /** Whether too few requests of a rank are served, compared with the others. */
  isUnderserved (rank: number): boolean
}

/** Decides which queued exchange is dispatched next, and which one is refused when the queue is full. */
export interface QueuePolicy {
  readonly name: string
  /** Returns the exchange to dispatch next. */
  next (view: QueueView): ExchangeRow | undefined
  /** Returns the exchange to refuse when the queue is full. */
  victim (view: QueueView): ExchangeRow | undefined
}

/** Returns the key under which an exchange shares capacity: its workspace, or one common key for open routes. */
export const fairnessKey = (exchange: ExchangeRow): string => exchange.workspace ?? ''

/** Baseline: first in, first out. */
export class FifoQueue implements QueuePolicy {
  readonly name = 'first-come'

  next (view: QueueView): ExchangeRow | undefined { return view.queued[0] }

  victim (view: QueueView): ExchangeRow | undefined { return view.queued.at(-1) }
}

/** Dispatches the most urgent rank first, but no rank starves. Within a rank, it is weighted max-min fair. */
export class RankedMaxMinQueue implements QueuePolicy {
  readonly name = 'ranked-max-min'
  readonly #fair = new MaxMinQueue()

  next (view: QueueView): ExchangeRow | undefined {
    const underserved = view.queued.filter(row => view.isUnderserved(row.rank))
    return this.#fair.next(this.#filterByRank(underserved.length > 0 ? { ...view, queued: underserved } : view, Math.min))
  }

  victim (view: QueueView): ExchangeRow | undefined { return this.#fair.victim(this.#filterByRank(view, Math.max)) }

  #filterByRank (view: QueueView, pickRank: (a: number, b: number) => number): QueueView {
    const rank = view.queued.reduce((best, row) => pickRank(best, row.rank), view.queued[0]?.rank ?? 0)
    return { ...view, queued: view.queued.filter(row => row.rank === rank) }
  }
}

/** Weighted max-min fairness: the workspace with the fewest running attempts for its weight goes first. */
export class MaxMinQueue implements QueuePolicy {
  readonly name = 'max-min'

  next (view: QueueView): ExchangeRow | undefined {
    let best: ExchangeRow | undefined
    let lowestShare = Number.POSITIVE_INFINITY
    const seen = new Set<string>()
    for (const exchange of view.queued) {
      const key = fairnessKey(exchange)
      if (seen.has(key)) continue
      seen.add(key)
      const share = view.running(key) / view.weight(key)
      if (share >= lowestShare) continue
      lowestShare = share
      best = exchange
    }
    return best
  }

  victim (view: QueueView): ExchangeRow | undefined {
    const newest = new Map<string, ExchangeRow>()
    const demand = new Map<string, number>()
    for (const exchange of view.queued) {
      const key = fairnessKey(exchange)
      newest.set(key, exchange)
      demand.set(key, (demand.get(key) ?? 0) + 1)
    }
    let worst: ExchangeRow | undefined
    let highestShare = Number.NEGATIVE_INFINITY
    for (const [key, exchange] of newest) {
      const share = ((demand.get(key) ?? 0) + view.running(key)) / view.weight(key)
      if (share <= highestShare) continue
      highestShare = share
      worst = exchange
    }
    return worst
  }
}

/** Invariant: the traffic that shifts between regions from one window to the next stays within the cap. */

import type { Millis } from '../core/tick.js'

/** An event at a host: a request was received, or a request was sent to another region. */
export interface TrafficEvent { readonly at: Millis, readonly host: string }

/** Windows with fewer requests are skipped, because their fraction is not meaningful. */
const MIN_REQUESTS = 10

interface Count { requested: number, away: number }

const countByWindow = (requests: readonly TrafficEvent[], away: readonly TrafficEvent[], start: Millis, windowMs: Millis): Map<string, Count> => {
  const counts = new Map<string, Count>()
  const countAt = (event: TrafficEvent): Count => {
    const key = `${event.host} ${Math.floor((event.at - start) / windowMs)}`
    let count = counts.get(key)
    if (count === undefined) counts.set(key, count = { requested: 0, away: 0 })
    return count
  }
  for (const event of requests) countAt(event).requested += 1
  for (const event of away) countAt(event).away += 1
  return counts
}

/**
 * Returns the number of windows, per host, in which the fraction of requests sent to another region differs from that of the
 * previous window by more than the cap. Served and refused requests count. One request more is allowed, because a request
 * cannot be split.
 */
export const countWindowsOverCap = (requests: readonly TrafficEvent[], away: readonly TrafficEvent[], start: Millis, windowMs: Millis, cap: number): number => {
  const counts = countByWindow(requests, away, start, windowMs)
  let over = 0
  for (const [key, count] of counts) {
    const [host, window] = key.split(' ')
    const previous = counts.get(`${host ?? ''} ${Number(window) - 1}`)
    if (previous === undefined || previous.requested < MIN_REQUESTS || count.requested < MIN_REQUESTS) continue
    const change = Math.abs(count.away / count.requested - previous.away / previous.requested)
    if (change > cap + 1 / count.requested) over += 1
  }
  return over
}

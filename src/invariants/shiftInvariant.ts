/** Invariant: every shift of traffic stays under its cap. */

import type { Millis } from '../core/tick.js'

/** A request that asked for a place, or one that was sent to another region, at its host and time. */
export interface TrafficEvent { readonly at: Millis, readonly host: string }

/** Requests in a window below which a part of it says nothing. */
const MIN_REQUESTS = 10

interface Count { requested: number, away: number }

const countByWindow = (asked: readonly TrafficEvent[], away: readonly TrafficEvent[], start: Millis, windowMs: Millis): Map<string, Count> => {
  const counts = new Map<string, Count>()
  const countAt = (event: TrafficEvent): Count => {
    const key = `${event.host} ${Math.floor((event.at - start) / windowMs)}`
    let count = counts.get(key)
    if (count === undefined) counts.set(key, count = { requested: 0, away: 0 })
    return count
  }
  for (const event of asked) countAt(event).requested += 1
  for (const event of away) countAt(event).away += 1
  return counts
}

/**
 * Windows of a host whose part away departs from that of the window before by more than the cap. The traffic of a
 * window is what asked in it, served or refused; one request cannot be split.
 */
export const countWindowsOverCap = (asked: readonly TrafficEvent[], away: readonly TrafficEvent[], start: Millis, windowMs: Millis, cap: number): number => {
  const counts = countByWindow(asked, away, start, windowMs)
  let over = 0
  for (const [key, count] of counts) {
    const [host, window] = key.split(' ')
    const before = counts.get(`${host ?? ''} ${Number(window) - 1}`)
    if (before === undefined || before.requested < MIN_REQUESTS || count.requested < MIN_REQUESTS) continue
    const departure = Math.abs(count.away / count.requested - before.away / before.requested)
    if (departure > cap + 1 / count.requested) over += 1
  }
  return over
}

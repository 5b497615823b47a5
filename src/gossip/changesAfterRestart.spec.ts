import t from 'tap'
import type { Test } from 'tap'
import type { Millis } from '../core/tick.js'
import { ChangeSeries } from '../stand-ins/changeSeries.js'

/** Longest time until an acknowledged change is in force on every entry host. */
const IN_FORCE_MS: Millis = 2_500
/** Time after the last start of a control host from which the bound holds. */
const SETTLED_MS: Millis = 4_000
const CHANGE_INTERVAL_MS: Millis = 300
const DOWN_MS: Millis = 800
const SPREAD_MS: Millis = 300
const SEEDS = Array.from({ length: 12 }, (_, seed) => seed + 1)
/** Fraction of the requests that must be served, so that the changes come beside load. */
const MIN_SERVED = 0.8
const REQUESTS_PER_S = 200
const LOAD_MS: Millis = 30_000
const STARVATION = { runMs: 20, minStallMs: 100, maxStallMs: 1_000 }

// Each restart comes at another phase of the fleet's timers, amid changes and requests.
const runRestarts = (seed: number, isStarved: boolean, restart: (series: ChangeSeries) => void): ChangeSeries => {
  const series = new ChangeSeries(seed)
  const { fleet, hosts } = series
  series.sendLoad(REQUESTS_PER_S, LOAD_MS)
  for (const [position, host] of hosts.entries()) {
    if (isStarved && position % 4 === 0) series.starve(host, STARVATION)
  }
  for (let round = 0; round < 3; round += 1) {
    series.runFor(fleet.random.below(4_000), CHANGE_INTERVAL_MS)
    restart(series)
    series.runFor(11_000, CHANGE_INTERVAL_MS)
  }
  return series
}

const restartAll = (series: ChangeSeries): void => {
  series.watchedFrom = series.fleet.now + DOWN_MS + SPREAD_MS + SETTLED_MS
  series.restart(series.control.hosts, DOWN_MS, SPREAD_MS)
}

const restartInPairs = (series: ChangeSeries): void => {
  const { hosts } = series.control
  series.watchedFrom = Number.POSITIVE_INFINITY
  for (let first = 0; first < hosts.length; first += 2) {
    series.restart(hosts.slice(first, first + 2), DOWN_MS, SPREAD_MS)
    series.runFor(2_000, CHANGE_INTERVAL_MS)
  }
  series.watchedFrom = series.fleet.now + SETTLED_MS - 2_000 + DOWN_MS + SPREAD_MS
}

const checkLag = (t: Test, what: string, { longestLagMs, longestLagOn, entry }: ChangeSeries): void => {
  const served = entry.outcomes.filter(outcome => outcome.kind === 'served').length
  t.ok(served >= MIN_SERVED * REQUESTS_PER_S * LOAD_MS / 1_000, `${what}: ${served} requests are served meanwhile`)
  t.ok(longestLagMs <= IN_FORCE_MS, `${what}: ${longestLagMs} ms (${longestLagOn})`)
}

t.test('entry hosts keep an older configuration after all control hosts have restarted amid changes', async t => {
  for (const seed of SEEDS) checkLag(t, `lag after a restart of all control hosts, seed ${seed}`, runRestarts(seed, false, restartAll))
})

t.test('the same on entry hosts that are starved of processor time', async t => {
  for (const seed of SEEDS) checkLag(t, `lag of starved hosts after a restart of all control hosts, seed ${seed}`, runRestarts(seed, true, restartAll))
})

t.test('the same after restarts of two control hosts at a time', async t => {
  for (const seed of SEEDS) checkLag(t, `lag after restarts in pairs, seed ${seed}`, runRestarts(seed, seed % 2 === 0, restartInPairs))
})

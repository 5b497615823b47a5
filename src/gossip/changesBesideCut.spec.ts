import t from 'tap'
import type { HostId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import { ChangeSeries } from '../stand-ins/changeSeries.js'

// Guards against entry hosts that know that they lack changes and go on asking a control host that lacks them too.

/** Longest time until an acknowledged change is in force on every entry host. */
const IN_FORCE_MS: Millis = 2_500
/** Time after the begin of a cut from which the bound holds. */
const SETTLED_MS: Millis = 4_000
const CHANGE_INTERVAL_MS: Millis = 300
const CUT_MS: Millis = 7_000
const SEEDS = Array.from({ length: Number(process.env.RHUBARBSEAM_RUNS ?? 12) }, (_, seed) => seed + 1)

// Cuts control hosts off from the others; entry hosts reach all of them.
const cutControl = (seed: number, count: number): ChangeSeries => {
  const series = new ChangeSeries(seed, 2)
  const { fleet, control } = series
  series.runFor(fleet.random.below(2_000), CHANGE_INTERVAL_MS)
  const first = seed % control.hosts.length
  const cutOff: ReadonlySet<HostId> = new Set([...control.hosts, ...control.hosts].slice(first, first + count))
  const isControl: ReadonlySet<HostId> = new Set(control.hosts)
  fleet.network.isPartitioned = (from, to) => isControl.has(from) && isControl.has(to) && cutOff.has(from) !== cutOff.has(to)
  series.watchedFrom = fleet.now + SETTLED_MS
  series.runFor(CUT_MS, CHANGE_INTERVAL_MS)
  return series
}

for (const [count, what] of [[1, 'one control host'], [2, 'two control hosts']] as const) {
  t.test(`${what} cut off from the others, and the entry hosts beside them`, async t => {
    for (const seed of SEEDS) {
      const { longestLagMs, longestLagOn, acknowledged } = cutControl(seed, count)
      t.ok(acknowledged.length > 0, `seed ${seed}: changes are acknowledged meanwhile`)
      t.ok(longestLagMs <= IN_FORCE_MS, `changes beside a cut, ${what}, seed ${seed}: ${longestLagMs} ms (${longestLagOn})`)
    }
  })
}

import t from 'tap'
import type { Millis } from '../core/tick.js'
import { ChangeSeries } from '../stand-ins/changeSeries.js'

// Guards against a request that is refused for good as a configuration says that may have been replaced.

const INTERVAL_MS: Millis = 100
const OUTAGE_MS: Millis = 6_000
/** Time within which an acknowledged change must be in force on every host. */
const IN_FORCE_MS: Millis = 2_500

t.test('a host without a recent confirmation refuses unknown routes for now, not for good', async t => {
  const series = new ChangeSeries(1, 1)
  const { fleet, control, entry, hosts } = series
  const sendTo = (forMs: Millis): Array<{ readonly at: Millis, readonly reason: string }> => {
    const first = entry.outcomes.length
    for (let at = 0; at < forMs; at += INTERVAL_MS) {
      const host = hosts[at / INTERVAL_MS % hosts.length] ?? ''
      fleet.schedule(at, () => { entry.send(host, { service: 's', workspace: '', authority: 'unknown.example', path: '/' }) })
    }
    fleet.runFor(forMs)
    return entry.outcomes.slice(first).map(({ sentAt, reason }) => ({ at: sentAt, reason }))
  }
  t.same(new Set(sendTo(3_000).map(row => row.reason)), new Set(['route-unknown']), 'while the configuration is confirmed')
  const killedAt = fleet.now
  for (const host of control.hosts) control.kill(host)
  const late = sendTo(OUTAGE_MS).filter(row => row.at > killedAt + IN_FORCE_MS)
  t.ok(late.length > 0)
  t.same(new Set(late.map(row => row.reason)), new Set(['configuration-stale']), 'while nobody can confirm it')
  for (const host of control.hosts) control.start(host)
  fleet.runFor(5_000)
  t.same(new Set(sendTo(3_000).map(row => row.reason)), new Set(['route-unknown']), 'once it is confirmed again')
})

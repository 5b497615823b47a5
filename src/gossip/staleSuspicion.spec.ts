import t from 'tap'
import type { HostId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { MembershipTables } from '../membership/types.js'
import { ChangeSeries } from '../stand-ins/changeSeries.js'

// Guards against hosts that count as suspect or dead although they are back and take part.

const SEEDS = Array.from({ length: Number(process.env.RHUBARBSEAM_RUNS ?? 16) }, (_, seed) => seed + 1)
/** Time after its start within which a host must count as alive on every host that it exchanges messages with. */
const BELIEVED_MS: Millis = 4_000

// Those that take a host for suspect or dead, among the control hosts and the entry hosts of its zone.
const doubters = ({ control, entry }: ChangeSeries, host: HostId): string[] => {
  const tablesOf = (other: HostId): MembershipTables => control.hosts.includes(other) ? control.tables(other) : entry.tables(other)
  const near = entry.locations.filter(location => location.host !== host && location.zone === host.split('-', 1)[0]).map(location => location.host as HostId)
  const others = [...control.hosts.filter(other => other !== host), ...near]
  return others.filter(other => ['suspect', 'dead'].includes(tablesOf(other).members.get(host)?.member.state ?? 'unknown'))
}

const restartedControl = (series: ChangeSeries, losesDisk: boolean): HostId => {
  const { fleet, control } = series
  const host = control.hosts[fleet.random.below(control.hosts.length)] as HostId
  control.kill(host)
  fleet.schedule(200 + fleet.random.below(5_000), () => {
    if (losesDisk) control.wipeDisk(host)
    control.start(host)
  })
  return host
}

const restartedEntry = (series: ChangeSeries): HostId => {
  const { fleet, entry } = series
  const location = entry.locations[fleet.random.below(entry.locations.length)] ?? { host: '', zone: '', region: '' }
  const node = fleet.nodes.get(location.host as HostId)
  if (node !== undefined) node.isDown = true
  fleet.schedule(200 + fleet.random.below(5_000), () => { entry.startHost(location, false) })
  return location.host as HostId
}

const frozen = (series: ChangeSeries): HostId => {
  const { fleet, control, hosts } = series
  const all = [...control.hosts, ...hosts]
  const host = all[fleet.random.below(all.length)] as HostId
  const node = fleet.nodes.get(host)
  if (node !== undefined) node.isFrozen = true
  fleet.schedule(200 + fleet.random.below(5_000), () => { if (node !== undefined) node.isFrozen = false })
  return host
}

const losses: ReadonlyArray<readonly [string, (series: ChangeSeries) => HostId]> = [
  ['a restarted control host', series => restartedControl(series, false)],
  ['a control host that lost its disk', series => restartedControl(series, true)],
  ['a restarted entry host', restartedEntry],
  ['a host that was frozen', frozen]
]

for (const [what, lose] of losses) {
  t.test(`${what} counts as alive again soon after it is back`, async t => {
    for (const seed of SEEDS) {
      const series = new ChangeSeries(seed, 2)
      series.runFor(series.fleet.random.below(3_000), 500)
      const host = lose(series)
      const isRunning = (): boolean => series.fleet.nodes.get(host)?.isDown === false && series.fleet.nodes.get(host)?.isFrozen === false
      while (!isRunning()) series.runFor(20, 500)
      series.runFor(BELIEVED_MS, 500)
      t.same(doubters(series, host), [], `${what}, seed ${seed}: ${host}`)
    }
  })
}

import t from 'tap'
import { ReportingFleet } from '../stand-ins/reportingFleet.js'

const WATCHED_MS = 30_000
const WATCH_INTERVAL_MS = 100

// Returns the servers that count as gone on any control host within the time watched.
const findWronglyGone = ({ fleet, control }: ReportingFleet): Set<string> => {
  const wronglyGone = new Set<string>()
  for (let elapsedMs = 0; elapsedMs < WATCHED_MS; elapsedMs += WATCH_INTERVAL_MS) {
    fleet.runFor(WATCH_INTERVAL_MS)
    for (const host of control.hosts) {
      for (const { announcement } of control.tables(host).backends.rows()) {
        if (announcement.state === 'gone') wronglyGone.add(`${announcement.backend} on ${host}`)
      }
    }
  }
  return wronglyGone
}

t.test('servers that never stopped reporting do not count as gone after all control hosts have restarted', async t => {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    const reporting = new ReportingFleet(seed)
    reporting.fleet.runFor(12_000 + reporting.fleet.random.below(5_000))
    for (const host of reporting.control.hosts) reporting.restartControl(host)
    t.equal(findWronglyGone(reporting).size, 0, `servers wrongly gone after a restart of all control hosts, seed ${seed}`)
  }
})

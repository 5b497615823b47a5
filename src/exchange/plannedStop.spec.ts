import t from 'tap'
import { toId } from '../core/id.js'
import type { HostId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { createLocations } from '../stand-ins/virtualTopology.js'

const STOP_WITHIN_MS: Millis = 6_000

interface StopRun { readonly cut: number, readonly sentAfterStop: number, readonly refusals: Record<string, number> }

// Stops one of two hosts and kills it when its time is up; requests arrive until then, at a server that needs `workMs`.
const runStop = (workMs: Millis, timeoutMs: Millis): StopRun => {
  const fleet = new VirtualFleet(1)
  const locations = createLocations(['n'], 1, 2)
  const snapshot = new ConfigurationBuilder().profile(defaultTerms).service('s', 20_000).workspace('w', 1e6, 1e6).hosts(locations).snapshot()
  const entry = new VirtualEntry(fleet, locations, snapshot)
  entry.addServer('s', 'server', 'n1', 1_000, workMs)
  fleet.runFor(20_000)
  const stopping = 'n1-1'
  const stoppedAt = fleet.now
  fleet.push(toId<HostId>(stopping), { kind: 'stop', withinMs: STOP_WITHIN_MS })
  const first = entry.sentCount
  for (let sentAfterMs = 0; sentAfterMs < STOP_WITHIN_MS; sentAfterMs += 100) {
    fleet.runUntil(stoppedAt + sentAfterMs)
    entry.send(stopping, { service: 's', workspace: 'w', method: 'POST', timeoutMs })
  }
  fleet.runUntil(stoppedAt + STOP_WITHIN_MS)
  const refusals: Record<string, number> = {}
  const ended = entry.outcomes.filter(outcome => outcome.sentAt >= stoppedAt)
  for (const { kind, reason, ran } of ended) {
    if (kind === 'refused') refusals[`${reason}, ${ran}`] = (refusals[`${reason}, ${ran}`] ?? 0) + 1
  }
  const sent = entry.sentCount - first
  return { cut: sent - ended.length, sentAfterStop: entry.placements.filter(({ sentAt, host }) => sentAt >= stoppedAt && host === stopping).length, refusals }
}

t.test('requests that come during a planned stop are cut off when its time is up', async t => {
  for (const [workMs, timeoutMs] of [[500, 1_500], [2_500, 4_000], [4_000, 8_000], [9_000, 12_000]] as const) {
    const run = runStop(workMs, timeoutMs)
    t.equal(run.cut, 0, `work ${workMs} ms, timeout ${timeoutMs} ms`)
    t.matchSnapshot(run, `work ${workMs} ms, timeout ${timeoutMs} ms`)
  }
})

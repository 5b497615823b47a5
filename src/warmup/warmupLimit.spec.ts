import t from 'tap'
import { toId } from '../core/id.js'
import type { BackendId, ServiceId, ZoneId } from '../core/id.js'
import { mergeAnnouncement } from '../announcement/announcementTopic.js'
import type { Announcement } from '../announcement/types.js'
import { findCandidates } from '../backend-choice/candidates.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { createLocations } from '../stand-ins/virtualTopology.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { recordColdSend } from './warmupLimit.js'

const RATE = 10
const TOLERANCE = 1.5

t.test('all hosts together keep to the warm-up rate of a cold server without communicating', async t => {
  const locations = createLocations(['n', 's'], 2, 5)
  const fleet = new VirtualFleet(5)
  const entry = new VirtualEntry(fleet, locations, new ConfigurationBuilder().profile(defaultTerms).service('lookup').hosts(locations).workspace('w', 100, 50).snapshot())
  fleet.runFor(6_000)
  const cold: Announcement = { service: toId<ServiceId>('lookup'), backend: toId<BackendId>('fresh'), region: toId('n'), zone: toId<ZoneId>('n1'), target: { address: 'fresh', port: 1 }, slots: 6, epoch: 5, sequence: 1, state: 'up', coldMs: 5_000 }
  let peakPerSecond = 0
  const recent: number[] = []
  for (const location of locations) {
    const tables = entry.tables(location.host)
    const service = tables.configuration.services.get(toId<ServiceId>('lookup'))
    if (service !== undefined) tables.configuration.services.put({ ...service, warmup: { coldMs: 5_000, ratePerS: RATE } })
    mergeAnnouncement(tables, cold, fleet.now)
  }
  // Every host tries to send a request every 5 ms.
  for (let step = 0; step < 600; step += 1) {
    const now = fleet.now + step * 5
    for (const location of locations) {
      const tables = entry.tables(location.host)
      const [row] = findCandidates(tables, { service: toId<ServiceId>('lookup'), excluded: new Set(), urgentFraction: 0, allowedRegions: [] }, now)
      if (row === undefined) continue
      recordColdSend(row, now)
      recent.push(now)
    }
    peakPerSecond = Math.max(peakPerSecond, recent.filter(at => now - at < 1_000).length)
  }
  t.ok(peakPerSecond > 0, 'a cold server is used')
  t.ok(peakPerSecond <= RATE * TOLERANCE, `${peakPerSecond} in one second`)
})

t.test('a host that was paused keeps the rate of a cold server within the tolerance, together with its successor', async t => {
  for (const pauseMs of [1_000, 3_000, 10_000, 30_000]) {
    const locations = createLocations(['n', 's'], 2, 5)
    const fleet = new VirtualFleet(6)
    const entry = new VirtualEntry(fleet, locations, new ConfigurationBuilder().profile(defaultTerms).service('lookup').hosts(locations).snapshot())
    fleet.runFor(6_000)
    const cold: Announcement = { service: toId<ServiceId>('lookup'), backend: toId<BackendId>('fresh'), region: toId('n'), zone: toId<ZoneId>('n1'), target: { address: 'fresh', port: 1 }, slots: 6, epoch: 5, sequence: 1, state: 'up', coldMs: 60_000 }
    for (const location of locations) {
      const tables = entry.tables(location.host)
      const service = tables.configuration.services.get(toId<ServiceId>('lookup'))
      if (service !== undefined) tables.configuration.services.put({ ...service, warmup: { coldMs: 60_000, ratePerS: RATE } })
      mergeAnnouncement(tables, cold, fleet.now)
    }
    let recent: Array<{ readonly host: string, readonly at: number }> = []
    let peakPerSecond = 0
    const run = (forMs: number): void => {
      for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += 20) {
        fleet.runFor(20)
        for (const { host } of locations) {
          if (fleet.nodes.get(toId(host))?.isFrozen === true) continue
          const [row] = findCandidates(entry.tables(host), { service: toId<ServiceId>('lookup'), excluded: new Set(), urgentFraction: 0, allowedRegions: [] }, fleet.now)
          if (row === undefined) continue
          recordColdSend(row, fleet.now)
          recent.push({ host, at: fleet.now })
        }
        recent = recent.filter(({ at }) => fleet.now - at < 1_000)
        peakPerSecond = Math.max(peakPerSecond, recent.length)
      }
    }
    run(1_500)
    const paused = fleet.nodes.get(toId(recent[0]?.host ?? ''))
    if (paused === undefined) throw new Error('no host sends')
    paused.isFrozen = true
    run(pauseMs)
    paused.isFrozen = false
    run(5_000)
    t.ok(peakPerSecond > 0 && peakPerSecond <= RATE * TOLERANCE, `pause of ${pauseMs} ms: ${peakPerSecond} in one second`)
  }
})

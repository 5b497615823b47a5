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

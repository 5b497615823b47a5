import t from 'tap'
import { toId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import { ConfigurationBuilder } from '../stand-ins/configurationBuilder.js'
import { founderSeeds } from '../stand-ins/regionalControl.js'
import { ReportingFleet } from '../stand-ins/reportingFleet.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { createLocations } from '../stand-ins/virtualTopology.js'

// Guards against an entry host that has its configuration, and for seconds no server to send a request to.

const RUNS = Number(process.env.RHUBARBSEAM_RUNS ?? 10)
const HOSTS_PER_ZONE = 2
/** Longest time from its start until an entry host knows a server. A host counts as back 4 s after its return. */
const KNOWN_MS: Millis = 4_000
const STEP_MS: Millis = 50
const DOWN_MS: Millis = 600
const ROUNDS = 3

t.test('an entry host that was killed and started again knows servers again in time', async t => {
  const late: string[] = []
  let longestMs = 0
  for (let seed = 1; seed <= RUNS; seed += 1) {
    const { fleet, control } = new ReportingFleet(seed)
    const locations = createLocations(['n', 'm', 's'], 2, HOSTS_PER_ZONE)
    const entry = new VirtualEntry(fleet, locations, new ConfigurationBuilder().snapshot(), undefined, 'tiered', founderSeeds(control))
    // One control host is down, so a part of the synchronizations goes to it.
    const lost = fleet.nodes.get(control.hosts.at(-1) ?? toId('none'))
    if (lost !== undefined) lost.isDown = true
    fleet.runFor(8_000)
    for (let round = 0; round < ROUNDS; round += 1) {
      for (const location of locations) {
        const node = fleet.nodes.get(toId(location.host))
        if (node !== undefined) node.isDown = true
        fleet.runFor(DOWN_MS)
        entry.startHost(location, false)
        let waitedMs = 0
        while (waitedMs < KNOWN_MS && entry.tables(location.host).backends.size === 0) {
          fleet.runFor(STEP_MS)
          waitedMs += STEP_MS
        }
        longestMs = Math.max(longestMs, waitedMs)
        if (entry.tables(location.host).backends.size === 0) late.push(`${location.host}, seed ${seed}, round ${round}`)
      }
    }
  }
  t.same(late, [], `no server after ${KNOWN_MS} ms; longest ${longestMs} ms`)
})

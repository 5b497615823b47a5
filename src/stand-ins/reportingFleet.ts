/** Backend servers that report to the control hosts of a virtual fleet. */

import { toId } from '../core/id.js'
import type { BackendId, HostId, RegionId, ServiceId, ZoneId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import { reportReceiver } from '../announcement/reportReceiver.js'
import type { Announcement } from '../announcement/types.js'
import type { VirtualControl } from './virtualControl.js'
import { VirtualFleet } from './virtualFleet.js'
import { startRegionalControl } from './regionalControl.js'
import { delayByRegion, zoneOfHost } from './virtualTopology.js'

const REPORT_INTERVAL_MS: Millis = 1_500
const REPORT_EXPIRY_MS: Millis = 4.5 * REPORT_INTERVAL_MS
const SERVERS_PER_ZONE = 4
const REGION_DELAY_MS: Millis = 35
const START_MS: Millis = 9_000
const MIN_DOWN_MS: Millis = 800
const MAX_EXTRA_DOWN_MS: Millis = 300

/** Service of all servers. */
export const REPORTING_SERVICE = toId<ServiceId>('s')

/** A server, and the control host that the last answer named, or another one if that was down. */
export interface ReportingServer { announcement: Announcement, receiver: HostId, hasLeft: boolean }

/** Six control hosts and four reporting servers a zone. */
export class ReportingFleet {
  readonly fleet: VirtualFleet
  readonly control: VirtualControl
  readonly servers: ReportingServer[] = []

  constructor (seed: number) {
    this.fleet = new VirtualFleet(seed)
    this.fleet.network.delay = delayByRegion(REGION_DELAY_MS)
    this.control = startRegionalControl(this.fleet, { reportExpiryMs: REPORT_EXPIRY_MS })
    this.fleet.runFor(START_MS)
    for (const name of this.control.hosts) {
      for (let number = 0; number < SERVERS_PER_ZONE; number += 1) this.#addServer(zoneOfHost(name), number)
    }
  }

  /** Kills a control host and starts it again about a second later. */
  restartControl (host: HostId): void { this.control.restart(host, MIN_DOWN_MS, MAX_EXTRA_DOWN_MS) }

  /** Any control host. */
  anyControl (): HostId {
    const { hosts } = this.control
    return hosts[this.fleet.random.below(hosts.length)] ?? toId<HostId>('none')
  }

  /** Sends a report of a server to a control host, which may be down. */
  report (server: ReportingServer, receiver: HostId): void {
    const { announcement } = server
    server.announcement = { ...announcement, sequence: announcement.sequence + 1 }
    this.fleet.push(receiver, { kind: 'announcement', announcement: server.announcement })
  }

  #addServer (zone: string, number: number): void {
    const announcement: Announcement = {
      service: REPORTING_SERVICE,
      backend: toId<BackendId>(`${zone}-${number}`),
      region: toId<RegionId>(zone.slice(0, 1)),
      zone: toId<ZoneId>(zone),
      target: { address: `${zone}-${number}`, port: 1 },
      slots: 4,
      epoch: 1,
      sequence: 1,
      state: 'up',
      coldMs: 0
    }
    const server: ReportingServer = { announcement, receiver: this.anyControl(), hasLeft: false }
    this.servers.push(server)
    this.fleet.schedule(this.fleet.random.below(REPORT_INTERVAL_MS), () => { this.#reportRepeatedly(server) })
  }

  #reportRepeatedly (server: ReportingServer): void {
    if (server.hasLeft) return
    if (this.fleet.nodes.get(server.receiver)?.isDown === true) server.receiver = this.anyControl()
    if (this.fleet.nodes.get(server.receiver)?.isDown === false) {
      const { receiver } = server
      this.report(server, receiver)
      server.receiver = reportReceiver(this.control.tables(receiver), server.announcement).host
    }
    this.fleet.schedule(REPORT_INTERVAL_MS, () => { this.#reportRepeatedly(server) })
  }
}

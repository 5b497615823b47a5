import t from 'tap'
import { toId } from '../core/id.js'
import type { BackendId, HostId, RegionId, ServiceId, ZoneId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import { AutomaticAdmission } from '../replicated-log/replicaAdmission.js'
import { VirtualControl } from '../stand-ins/virtualControl.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { delayByRegion } from '../stand-ins/virtualTopology.js'
import { reportReceiver } from './reportReceiver.js'
import type { Announcement } from './types.js'

const CONTROL_NAMES = ['n1-c', 'n2-c', 'm1-c', 'm2-c', 's1-c', 's2-c']
const REPORT_INTERVAL_MS: Millis = 1_500
const REPORT_EXPIRY_MS: Millis = 4.5 * REPORT_INTERVAL_MS
const SERVERS_PER_ZONE = 4

interface ReportingServer { announcement: Announcement, receiver: HostId }

/** Servers that report to the control host that the last answer named, or to another one if that is down. */
class ReportingFleet {
  readonly fleet: VirtualFleet
  readonly control: VirtualControl
  readonly wronglyGone = new Set<string>()

  constructor (seed: number) {
    this.fleet = new VirtualFleet(seed)
    this.fleet.network.delay = delayByRegion(35)
    this.control = new VirtualControl(this.fleet, CONTROL_NAMES, {
      founders: 3, admission: () => new AutomaticAdmission(), dissemination: 'tiered', reportExpiryMs: REPORT_EXPIRY_MS, zoneOf: host => host.split('-', 1)[0] ?? ''
    })
    this.fleet.runFor(9_000)
    for (const name of CONTROL_NAMES) {
      for (let number = 0; number < SERVERS_PER_ZONE; number += 1) this.#addServer(name.slice(0, 2), number)
    }
  }

  /** Restarts all control hosts and watches the states of the servers for a time. */
  restartAll (): void {
    for (const host of this.control.hosts) {
      this.control.kill(host)
      this.fleet.schedule(800 + this.fleet.random.below(300), () => { this.control.start(host) })
    }
    for (let elapsedMs = 0; elapsedMs < 30_000; elapsedMs += 100) {
      this.fleet.runFor(100)
      this.#watch()
    }
  }

  #addServer (zone: string, number: number): void {
    const announcement: Announcement = {
      service: toId<ServiceId>('s'),
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
    const server: ReportingServer = { announcement, receiver: this.#anyControl() }
    this.fleet.schedule(this.fleet.random.below(REPORT_INTERVAL_MS), () => { this.#report(server) })
  }

  #anyControl (): HostId {
    const { hosts } = this.control
    return hosts[this.fleet.random.below(hosts.length)] ?? toId<HostId>('none')
  }

  #report (server: ReportingServer): void {
    const { announcement } = server
    if (this.fleet.nodes.get(server.receiver)?.isDown === true) server.receiver = this.#anyControl()
    const node = this.fleet.nodes.get(server.receiver)
    if (node?.isDown === false) {
      server.announcement = { ...announcement, sequence: announcement.sequence + 1 }
      this.fleet.push(server.receiver, { kind: 'announcement', announcement: server.announcement })
      server.receiver = reportReceiver(this.control.tables(server.receiver), announcement).host
    }
    this.fleet.schedule(REPORT_INTERVAL_MS, () => { this.#report(server) })
  }

  #watch (): void {
    for (const host of this.control.hosts) {
      for (const { announcement } of this.control.tables(host).backends.rows()) {
        if (announcement.state === 'gone') this.wronglyGone.add(`${announcement.backend} on ${host}`)
      }
    }
  }
}

t.test('servers that never stopped reporting count as gone after all control hosts have restarted', async t => {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    const fleet = new ReportingFleet(seed)
    fleet.fleet.runFor(12_000 + fleet.fleet.random.below(5_000))
    fleet.restartAll()
    t.equal(fleet.wronglyGone.size, 0, `servers wrongly gone after a restart of all control hosts, seed ${seed}`)
  }
})

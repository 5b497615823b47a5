import t from 'tap'
import { findDeparture } from '../announcement/departure.js'
import { findOutOfServiceReason } from '../backend-choice/candidates.js'
import { toId } from '../core/id.js'
import type { HostId, OperatorId, RequestId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import { checkKey } from '../key-check/keyCheck.js'
import { ConfigurationBuilder, defaultTerms, keyDigestOf } from '../stand-ins/configurationBuilder.js'
import { founderSeeds } from '../stand-ins/regionalControl.js'
import { REPORTING_SERVICE, ReportingFleet } from '../stand-ins/reportingFleet.js'
import type { ReportingServer } from '../stand-ins/reportingFleet.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { createLocations } from '../stand-ins/virtualTopology.js'
import type { Command } from './types.js'

const SEEDS = [1, 2, 3, 4]
const LEFT_COUNT = 6
const WITHDRAWN_COUNT = 3
const WORKSPACES = ['w0', 'w1', 'w2', 'w3', 'w4', 'w5']
/** Longest time until an acknowledged departure or withdrawal is in force on each host in touch. */
const IN_FORCE_MS: Millis = 2_500
const ANSWER_TIMEOUT_MS: Millis = 1_000
const WATCHED_MS: Millis = 20_000
const WATCH_INTERVAL_MS: Millis = 50
/** A server that leaves may have one report under way for so long. */
const MAX_REPORT_DELAY_MS: Millis = 4_000

const locations = createLocations(['n', 'm', 's'], 2, 2)

/** Servers leave and keys are withdrawn; then processes restart, and the hosts are watched for what they would still use. */
class Departures {
  readonly reporting: ReportingFleet
  readonly entry: VirtualEntry
  /** What an entry host would have used although it had left or was withdrawn. */
  readonly used = new Set<string>()
  /** The control host that a restart is about. */
  chosen = toId<HostId>('none')
  #commandCount = 0

  constructor (seed: number) {
    this.reporting = new ReportingFleet(seed)
    const { fleet, control } = this.reporting
    this.entry = new VirtualEntry(fleet, [], new ConfigurationBuilder().snapshot(), undefined, 'tiered', founderSeeds(control))
    for (const location of locations) this.entry.startHost(location, false)
    fleet.runFor(3_000)
    for (const workspace of WORKSPACES) {
      this.#send({ kind: 'put-workspace', workspace: toId(workspace), expectedVersion: 0, rate: 1, burst: 1, weight: 1 })
      this.#send({ kind: 'give-key', digest: keyDigestOf(workspace), workspace: toId(workspace) })
    }
    fleet.runFor(3_000)
  }

  /** Lets servers leave and withdraws keys, at any control host that answers, until all is acknowledged and in force. */
  depart (): void {
    for (const server of this.#leftServers()) {
      const { backend, epoch } = server.announcement
      // The control host that is told of it may have started a moment ago.
      const retirement = findDeparture(this.reporting.control.tables(this.#runningControl()), backend, epoch)
      if (retirement !== null) this.#send({ kind: 'retire-backend', retirement })
      server.hasLeft = true
    }
    for (const workspace of WORKSPACES.slice(0, WITHDRAWN_COUNT)) this.#send({ kind: 'withdraw-key', digest: keyDigestOf(workspace) })
    this.reporting.fleet.runFor(IN_FORCE_MS)
  }

  /** Delivers the last reports of the servers that have left, late. */
  sendLateReports (): void {
    const { fleet } = this.reporting
    for (const server of this.#leftServers()) {
      fleet.schedule(fleet.random.below(MAX_REPORT_DELAY_MS), () => { this.reporting.report(server, this.reporting.anyControl()) })
    }
  }

  restartEntry (position: number): void {
    const location = locations[position]
    const node = location === undefined ? undefined : this.reporting.fleet.nodes.get(toId<HostId>(location.host))
    if (location === undefined || node === undefined) return
    node.isDown = true
    this.reporting.fleet.schedule(300, () => { this.entry.startHost(location, false) })
  }

  restartAllEntries (): void { for (const position of locations.keys()) this.restartEntry(position) }

  restartAllControls (): void { for (const host of this.reporting.control.hosts) this.reporting.restartControl(host) }

  watch (): void {
    for (let elapsedMs = 0; elapsedMs < WATCHED_MS; elapsedMs += WATCH_INTERVAL_MS) {
      this.reporting.fleet.runFor(WATCH_INTERVAL_MS)
      for (const { host } of locations) this.#inspect(host)
    }
  }

  /** Entry hosts that do not use each server and key that remains. */
  findHostsWithout (): string[] {
    const lacking: string[] = []
    for (const { host } of locations) {
      const tables = this.entry.tables(host)
      const serving = tables.backends.group(REPORTING_SERVICE).filter(row => findOutOfServiceReason(tables, row) === null).length
      const accepted = WORKSPACES.filter(workspace => checkKey(tables, keyDigestOf(workspace), defaultTerms, this.reporting.fleet.now).tag === 'ok').length
      if (serving !== this.reporting.servers.length - LEFT_COUNT || accepted !== WORKSPACES.length - WITHDRAWN_COUNT) lacking.push(`${host}: ${serving} servers, ${accepted} keys`)
    }
    return lacking
  }

  #runningControl (): HostId {
    const { fleet, control } = this.reporting
    for (;;) {
      const host = control.hosts.find(name => fleet.nodes.get(name)?.isDown === false)
      if (host !== undefined) return host
      fleet.runFor(10)
    }
  }

  #leftServers (): ReportingServer[] {
    const { servers } = this.reporting
    return servers.filter((_, position) => position % Math.floor(servers.length / LEFT_COUNT) === 0)
  }

  #inspect (host: string): void {
    const node = this.reporting.fleet.nodes.get(toId<HostId>(host))
    const tables = this.entry.tables(host)
    // A host without a confirmed configuration serves nothing.
    if (node === undefined || node.isDown || node.isFrozen || tables.gossip.confirmedAt === null) return
    for (const { announcement } of this.#leftServers()) {
      const row = tables.backends.get(`${announcement.service}/${announcement.backend}`)
      if (row !== undefined && findOutOfServiceReason(tables, row) === null) this.used.add(`${announcement.backend} on ${host}`)
    }
    for (const workspace of WORKSPACES.slice(0, WITHDRAWN_COUNT)) {
      if (checkKey(tables, keyDigestOf(workspace), defaultTerms, this.reporting.fleet.now).tag === 'ok') this.used.add(`key of ${workspace} on ${host}`)
    }
  }

  #send (command: Command): void {
    const { fleet, control } = this.reporting
    this.#commandCount += 1
    const requestId = toId<RequestId>(`r${this.#commandCount}`)
    for (;;) {
      const host = control.leaders().find(leader => fleet.nodes.get(leader)?.isFrozen === false) ?? this.reporting.anyControl()
      const call = control.propose(host, { requestId, operator: toId<OperatorId>('ann'), roles: ['draft', 'approve', 'assign'], command })
      const sentAt = fleet.now
      while (!control.proposalAnswers.has(call) && fleet.now < sentAt + ANSWER_TIMEOUT_MS) fleet.runFor(10)
      if ((control.proposalAnswers.get(call)?.receipt ?? null) !== null) return
      fleet.runFor(100)
    }
  }
}

interface Restart {
  /** Happens before servers leave. */
  readonly before?: (departures: Departures) => void
  readonly after: (departures: Departures) => void
}

const followerOf = ({ reporting: { control } }: Departures): HostId => control.hosts.find(host => !control.leaders().includes(host)) ?? toId<HostId>('none')

const killFollower = (departures: Departures): void => {
  departures.chosen = followerOf(departures)
  departures.reporting.control.kill(departures.chosen)
}

const setFrozen = (departures: Departures, host: HostId, isFrozen: boolean): void => {
  const node = departures.reporting.fleet.nodes.get(host)
  if (node !== undefined) node.isFrozen = isFrozen
}

const restarts: Readonly<Record<string, Restart>> = {
  'each entry host in turn': {
    after: departures => {
      for (const position of locations.keys()) departures.reporting.fleet.schedule(position * 700, () => { departures.restartEntry(position) })
    }
  },
  'all entry hosts at once': { after: departures => { departures.restartAllEntries() } },
  'each control host in turn': {
    after: ({ reporting }) => {
      for (const [position, host] of reporting.control.hosts.entries()) reporting.fleet.schedule(position * 2_000, () => { reporting.restartControl(host) })
    }
  },
  'all control hosts at once': { after: departures => { departures.restartAllControls() } },
  'all processes at once': {
    after: departures => {
      departures.restartAllControls()
      departures.restartAllEntries()
    }
  },
  'all control hosts have just started when they are told': {
    before: departures => {
      departures.restartAllControls()
      departures.reporting.fleet.runFor(700)
    },
    after: () => {}
  },
  'all control hosts have just started when they are told, and start once more': {
    before: departures => {
      departures.restartAllControls()
      departures.reporting.fleet.runFor(700)
    },
    after: departures => {
      departures.restartAllControls()
      departures.restartAllEntries()
    }
  },
  'a control host with an old disk starts beside all entry hosts': {
    before: killFollower,
    after: departures => {
      departures.reporting.control.start(departures.chosen)
      departures.restartAllEntries()
    }
  },
  'a control host with an old disk starts beside all processes': {
    before: killFollower,
    after: departures => {
      departures.restartAllControls()
      departures.reporting.control.start(departures.chosen)
      departures.restartAllEntries()
    }
  },
  'a control host thaws beside entry hosts that start': {
    before: departures => {
      departures.chosen = followerOf(departures)
      setFrozen(departures, departures.chosen, true)
    },
    after: departures => {
      setFrozen(departures, departures.chosen, false)
      departures.restartAllEntries()
    }
  },
  'the leader thaws beside entry hosts that start': {
    before: departures => {
      departures.chosen = departures.reporting.control.leaders()[0] ?? departures.chosen
      setFrozen(departures, departures.chosen, true)
      departures.reporting.fleet.runFor(3_000)
    },
    after: departures => {
      setFrozen(departures, departures.chosen, false)
      departures.restartAllEntries()
    }
  },
  'a control host loses its disk, and all processes restart': {
    after: departures => {
      killFollower(departures)
      departures.reporting.control.wipeDisk(departures.chosen)
      departures.restartAllControls()
      departures.restartAllEntries()
    }
  },
  'an entry host thaws that froze before': {
    before: departures => { setFrozen(departures, toId(locations[0]?.host ?? ''), true) },
    after: departures => {
      departures.restartAllControls()
      departures.reporting.fleet.runFor(2_000)
      setFrozen(departures, toId(locations[0]?.host ?? ''), false)
    }
  }
}

for (const [name, restart] of Object.entries(restarts)) {
  t.test(`servers that left and withdrawn keys stay out: ${name}`, async t => {
    for (const seed of SEEDS) {
      const departures = new Departures(seed)
      restart.before?.(departures)
      departures.depart()
      restart.after(departures)
      departures.sendLateReports()
      departures.watch()
      t.same([...departures.used], [], `seed ${seed}`)
      t.same(departures.findHostsWithout(), [], `seed ${seed}: what remains is in use everywhere`)
    }
  })
}

/** Entry hosts of a virtual fleet, with fake backend servers and callers. */

import { toId } from '../core/id.js'
import type { BackendId, ExchangeId, HostId, KeyDigest, RegionId, ServiceId, SiteId, WorkspaceId, ZoneId } from '../core/id.js'
import type { Millis, World } from '../core/tick.js'
import { ANNOUNCEMENT_INTERVAL_MS } from '../announcement/announcementSystem.js'
import type { Announcement } from '../announcement/types.js'
import { installSnapshot } from '../configuration/configurationTables.js'
import type { ConfigurationSnapshot } from '../configuration/types.js'
import { createEntryWorld, defaultPolicies } from '../entry/entryWorld.js'
import type { EntryPolicies } from '../entry/entryWorld.js'
import type { DisseminationName } from '../gossip/disseminationRegistry.js'
import type { EntryInput, EntryOutput, EntryTables } from '../entry/types.js'
import type { AttemptResult, AttemptStarted, RequestRefused, RequestReceived } from '../exchange/types.js'
import { BlockTable } from '../lookup/blockTable.js'
import type { Member, Seed, Vouch } from '../membership/types.js'
import type { VirtualFleet, VirtualNode } from './virtualFleet.js'
import type { HostLocation } from './virtualTopology.js'
import { reportLoad, processObject } from './virtualServer.js'
import type { VirtualServer, RequestWork } from './virtualServer.js'
import { keyDigestOf } from './configurationBuilder.js'

/** Outcome of one request as seen by its caller. */
export interface VirtualOutcome {
  readonly exchange: ExchangeId
  readonly workspace: string
  readonly host: HostId
  readonly sentAt: Millis
  readonly endedAt: Millis
  readonly kind: 'served' | 'refused' | 'cut'
  readonly reason: string
  readonly ran: string
}

/** A request to send in a test. */
export interface VirtualRequest extends RequestWork {
  /** Routes the request by the routes of this authority instead of by its service. */
  readonly authority?: string
  readonly service: string
  readonly workspace: string
  readonly key?: string | null
  readonly method?: string
  readonly path?: string
  readonly timeoutMs?: Millis
  readonly idempotencyKey?: string
  readonly ticketAgeMs?: Millis
  readonly body?: string
}

/** A request for this path crashes the server that processes it. */
export const CRASHING_PATH = '/crash'

/** Runs the entry hosts, backend servers and callers of a virtual fleet. */
export class VirtualEntry {
  readonly servers = new Map<string, VirtualServer>()
  readonly outcomes: VirtualOutcome[] = []
  /** Called when the host refuses a request. */
  readonly onRefused = new Map<ExchangeId, (refusal: RequestRefused) => void>()
  /** Number of runs of each non-idempotent request, by idempotency key, or by exchange where there is no key. */
  readonly runs = new Map<string, number>()
  /** Each admission of a request of a workspace, including those at hosts that were killed later. */
  readonly admissions: Array<{ readonly workspace: string, readonly admittedAt: Millis }> = []
  /** Placement of each attempt. `isAway` means that the server is in another region than the entry host. */
  readonly placements: Array<{ readonly sentAt: Millis, readonly placedAt: Millis, readonly host: HostId, readonly isAway: boolean }> = []
  readonly #inFlight = new Map<ExchangeId, { request: VirtualRequest, host: HostId, sentAt: Millis }>()
  #requestCount = 0
  #startCount = 0

  constructor (readonly fleet: VirtualFleet, readonly locations: readonly HostLocation[], public snapshot: ConfigurationSnapshot, readonly policies: () => EntryPolicies = defaultPolicies, readonly dissemination?: DisseminationName, readonly seeds?: readonly Seed[]) {
    for (const location of locations) this.startHost(location)
  }

  /** Number of requests sent. */
  get sentCount (): number { return this.#requestCount }

  /** Starts or restarts a host with empty tables. With `hasConfiguration`, it starts with a loaded and confirmed configuration. */
  startHost (location: HostLocation, hasConfiguration = true): void {
    this.#startCount += 1
    const self: Member = {
      host: toId<HostId>(location.host),
      role: 'entry',
      region: toId<RegionId>(location.region),
      zone: toId<ZoneId>(location.zone),
      site: toId<SiteId>(location.zone),
      link: { address: location.host, port: 1 },
      callers: { address: location.host, port: 2 },
      epoch: this.#startCount,
      incarnation: 0,
      state: 'alive'
    }
    const seeds = this.seeds ?? this.locations.filter(other => other.host !== location.host).slice(0, 3).map(other => ({ host: toId<HostId>(other.host), link: { address: other.host, port: 1 } }))
    const world = createEntryWorld({ self, seeds, blocks: new BlockTable([]), randomSeed: this.fleet.random.below(1 << 30), policies: this.policies(), now: this.fleet.now, ...this.dissemination === undefined ? {} : { dissemination: this.dissemination } })
    if (hasConfiguration) this.loadConfiguration(world.tables)
    this.fleet.add(self.host, world, (node, row: EntryOutput) => { this.#deliver(node, row) })
  }

  /** Loads the configuration into a host's tables and marks it as confirmed now. */
  loadConfiguration (tables: EntryTables): void {
    installSnapshot(tables.configuration, this.snapshot)
    const vouch: Vouch = { index: this.snapshot.index, term: 1, sequence: 1, ageMs: 0 }
    tables.gossip.vouch = vouch
    tables.gossip.vouchedAt = this.fleet.now
    tables.gossip.confirmedAt = this.fleet.now
  }

  tables (host: string): EntryTables {
    const node = this.fleet.nodes.get(toId<HostId>(host))
    if (node === undefined) throw new Error(`no entry host ${host}`)
    return (node.world as World<EntryTables, EntryInput, EntryOutput>).tables
  }

  /** Adds a server that announces itself to each entry host of its zone, at the announcement interval. */
  addServer (service: string, name: string, zone: string, slots: number, workMs: Millis): VirtualServer {
    const announcement: Announcement = {
      service: toId<ServiceId>(service), backend: toId<BackendId>(name), region: toId<RegionId>(zone.replace(/\d+$/, '')), zone: toId<ZoneId>(zone), target: { address: name, port: 1 }, slots, epoch: 1, sequence: 0, state: 'up', coldMs: 0
    }
    const server: VirtualServer = { announcement, workMs, isDown: false, startedCount: 0, shedCount: 0, lastStartedAt: -1, runningAttempts: new Map(), queuedAttempts: [], crashCount: 0, scriptAttempt: null }
    this.servers.set(name, server)
    this.#announce(server, 0)
    return server
  }

  /** Crashes a server: its running attempts are lost, and it restarts with a new epoch after `downMs`. */
  crashServer (server: VirtualServer, downMs: Millis): void {
    server.crashCount += 1
    for (const { node, row } of server.runningAttempts.values()) this.#scheduleResult(node, row, 0, { kind: 'lost', reason: 'ECONNRESET' })
    server.runningAttempts.clear()
    server.isDown = true
    this.fleet.schedule(downMs, () => {
      server.isDown = false
      server.announcement = { ...server.announcement, epoch: server.announcement.epoch + 1 }
    })
  }

  /** Starts the drain of a server; its announcements then have the state `draining`. */
  startDrain (name: string): void {
    const server = this.servers.get(name)
    if (server !== undefined) server.announcement = { ...server.announcement, state: 'draining' }
  }

  /** Sends a request to an entry host. */
  send (host: string, request: VirtualRequest): ExchangeId {
    this.#requestCount += 1
    const exchange = toId<ExchangeId>(`x${this.#requestCount}`)
    const method = request.method ?? 'GET'
    const path = request.path ?? '/'
    this.#inFlight.set(exchange, { request, host: toId<HostId>(host), sentAt: this.fleet.now })
    const row: RequestReceived = {
      kind: 'request',
      exchange,
      target: request.authority === undefined ? { kind: 'service', service: toId<ServiceId>(request.service) } : { kind: 'route', authority: request.authority },
      affinity: request.affinity ?? null,
      method,
      path,
      key: request.key === null ? null : toId<KeyDigest>(request.key ?? keyDigestOf(request.workspace)),
      timeoutMs: request.timeoutMs ?? null,
      fingerprint: `${method} ${path} ${request.body ?? ''}`,
      replayable: true,
      idempotencyKey: request.idempotencyKey ?? null,
      ticketAgeMs: request.ticketAgeMs ?? null
    }
    this.fleet.push(toId<HostId>(host), row)
    return exchange
  }

  /** Schedules requests of a workspace at a constant rate. `hostAt` returns the entry host of each request. */
  sendAtRate (workspace: WorkspaceId | string, service: string, perSecond: number, from: Millis, until: Millis, hostAt: (now: Millis, n: number) => string): void {
    const intervalMs = 1_000 / perSecond
    let n = 0
    for (let at = from; at < until; at += intervalMs) {
      const number = n
      this.fleet.schedule(at - this.fleet.now, () => { this.send(hostAt(this.fleet.now, number), { service, workspace }) })
      n += 1
    }
  }

  #announce (server: VirtualServer, sequence: number): void {
    if (!server.isDown) {
      for (const location of this.locations) {
        const node = this.fleet.nodes.get(toId<HostId>(location.host))
        if (node === undefined || node.isDown || location.zone !== server.announcement.zone) continue
        node.inbox.push({ kind: 'announcement', announcement: { ...server.announcement, sequence } })
      }
    }
    this.fleet.schedule(ANNOUNCEMENT_INTERVAL_MS, () => { this.#announce(server, sequence + 1) })
  }

  #finish (exchange: ExchangeId, kind: VirtualOutcome['kind'], reason: string, ran: string): void {
    const inFlight = this.#inFlight.get(exchange)
    if (inFlight === undefined) return
    this.#inFlight.delete(exchange)
    this.outcomes.push({ exchange, workspace: inFlight.request.workspace, host: inFlight.host, sentAt: inFlight.sentAt, endedAt: this.fleet.now, kind, reason, ran })
  }

  #deliver (node: VirtualNode, row: EntryOutput): void {
    switch (row.kind) {
      case 'send': this.fleet.send(node.host, row); return
      case 'refuse': this.#finishRefused(row); return
      case 'start-attempt': this.#startAttempt(node, row); return
      case 'relay-answer': this.#scheduleResult(node, row, 0, { kind: 'complete', answer: { status: 200, headers: {}, body: new Uint8Array() } }); this.#finish(row.exchange, 'served', '', 'run'); return
      case 'replay-answer': this.#finish(row.exchange, 'served', 'replayed', 'run'); return
      case 'cut-answer': this.#finish(row.exchange, 'cut', 'cut', 'unknown')
    }
  }

  #finishRefused (row: RequestRefused): void {
    this.#finish(row.exchange, 'refused', row.reason, row.ran)
    this.onRefused.get(row.exchange)?.(row)
    this.onRefused.delete(row.exchange)
  }

  // Only non-idempotent requests are counted: idempotent ones may run several times.
  #countRun (row: AttemptStarted): void {
    if (row.idempotent) return
    const run = this.#inFlight.get(row.exchange)?.request.idempotencyKey ?? row.exchange
    this.runs.set(run, (this.runs.get(run) ?? 0) + 1)
  }

  #scheduleResult (node: VirtualNode, row: Pick<AttemptStarted, 'exchange' | 'attempt'> & Partial<Pick<AttemptStarted, 'backend' | 'epoch'>>, afterMs: Millis, result: AttemptResult, server?: VirtualServer): void {
    const { exchange, attempt, backend, epoch } = row
    this.fleet.schedule(afterMs, () => {
      if (node.isDown) return
      const pauseMs = (server?.pauseUntil ?? 0) - this.fleet.now
      const notice = backend === undefined || epoch === undefined || server === undefined ? null : { backend, epoch, isLeaving: server.isLeaving === true, pauseMs: pauseMs > 0 ? pauseMs : null }
      node.inbox.push({ kind: 'attempt', exchange, attempt, result, notice })
    })
  }

  #startAttempt (node: VirtualNode, row: AttemptStarted): void {
    if (row.workspace !== null && row.attempt.endsWith('.1')) this.admissions.push({ workspace: row.workspace, admittedAt: this.fleet.now - row.queueMs })
    const server = this.servers.get(row.target.address)
    if (server === undefined || server.isDown) {
      this.#scheduleResult(node, row, 1, { kind: 'not-sent', reason: 'ECONNREFUSED' })
      return
    }
    if ((server.pauseUntil ?? 0) > this.fleet.now) {
      server.shedCount += 1
      this.#scheduleResult(node, row, 1, { kind: 'head', status: 503, shed: true, load: null, isWhole: true }, server)
      return
    }
    const scriptedResult = server.scriptAttempt?.(row) ?? null
    if (scriptedResult === null && server.runningAttempts.size >= server.announcement.slots && server.queuedAttempts.length < (server.queueCapacity ?? 0)) {
      server.queuedAttempts.push(() => { this.#processAttempt(node, row, server, scriptedResult) })
      return
    }
    if (scriptedResult === null && server.runningAttempts.size >= server.announcement.slots) {
      server.shedCount += 1
      this.#scheduleResult(node, row, 1, { kind: 'head', status: 503, shed: true, load: null, isWhole: true }, server)
      return
    }
    this.#processAttempt(node, row, server, scriptedResult)
  }

  #processAttempt (node: VirtualNode, row: AttemptStarted, server: VirtualServer, scriptedResult: ReturnType<NonNullable<VirtualServer['scriptAttempt']>>): void {
    server.startedCount += 1
    server.lastStartedAt = this.fleet.now
    this.#countRun(row)
    const afterMs = scriptedResult?.afterMs ?? processObject(server, this.#inFlight.get(row.exchange)?.request)
    const isAway = server.announcement.region !== this.tables(node.host).gossip.self.region
    this.placements.push({ sentAt: this.#inFlight.get(row.exchange)?.sentAt ?? this.fleet.now, placedAt: this.fleet.now, host: node.host, isAway })
    server.runningAttempts.set(row.attempt, { node, row })
    this.fleet.schedule(afterMs, () => {
      if (!server.runningAttempts.has(row.attempt)) return
      if (this.#inFlight.get(row.exchange)?.request.path === CRASHING_PATH) {
        this.crashServer(server, 1_000)
        return
      }
      server.runningAttempts.delete(row.attempt)
      server.queuedAttempts.shift()?.()
      this.#scheduleResult(node, row, 0, scriptedResult?.result ?? { kind: 'head', status: 200, shed: false, load: reportLoad(server), isWhole: true }, server)
    })
  }
}

/** Entry hosts in a virtual fleet, with small stand-ins for backend servers and callers at their interfaces. */

import { toId } from '../core/id.js'
import type { BackendId, ExchangeId, HostId, KeyDigest, RegionId, ServiceId, SiteId, WorkspaceId, ZoneId } from '../core/id.js'
import type { Millis, World } from '../core/tick.js'
import { ANNOUNCEMENT_INTERVAL } from '../announcement/announcementSystem.js'
import type { Announcement } from '../announcement/types.js'
import { installSnapshot } from '../configuration/configurationTables.js'
import type { ConfigurationSnapshot } from '../configuration/types.js'
import { createEntryWorld, defaultPolicies } from '../entry/entryWorld.js'
import type { EntryPolicies } from '../entry/entryWorld.js'
import type { EntryInput, EntryOutput, EntryTables } from '../entry/types.js'
import type { AttemptResult, AttemptStarted, Refused, RequestReceived } from '../exchange/types.js'
import { BlockTable } from '../lookup/blockTable.js'
import type { Member, Vouch } from '../membership/types.js'
import type { VirtualFleet, VirtualNode } from './virtualFleet.js'
import type { HostLocation } from './virtualTopology.js'
import { reportLoad, processObject } from './virtualServer.js'
import type { VirtualServer, RequestWork } from './virtualServer.js'
import { keyDigestOf } from './configurationBuilder.js'

/** How one request ended, as its caller saw it. */
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

/** A request as a test sends it. */
export interface VirtualRequest extends RequestWork {
  /** Sends the request by the routes of this authority instead of by its service. */
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

/** A request for this path crashes the server that runs it. */
export const CRASHING_PATH = '/crash'

/** The entry hosts, servers and callers of a virtual fleet. */
export class VirtualEntry {
  readonly servers = new Map<string, VirtualServer>()
  readonly outcomes: VirtualOutcome[] = []
  /** Attempts of non-idempotent requests that reached a server, by idempotency key or exchange. */
  readonly runs = new Map<string, number>()
  /** Every admission of a request of a workspace, also of those whose host was killed later. */
  readonly admissions: Array<{ readonly workspace: string, readonly admittedAt: Millis }> = []
  /** Where each attempt went, by the time at which its request was sent. */
  readonly placements: Array<{ readonly sentAt: Millis, readonly placedAt: Millis, readonly host: HostId, readonly isAway: boolean }> = []
  readonly #open = new Map<ExchangeId, { request: VirtualRequest, host: HostId, sentAt: Millis }>()
  #exchanges = 0
  #epochs = 0

  constructor (readonly fleet: VirtualFleet, readonly locations: readonly HostLocation[], public snapshot: ConfigurationSnapshot, readonly policies: () => EntryPolicies = defaultPolicies) {
    for (const place of locations) this.startHost(place)
  }

  /** Requests sent so far. */
  get sentCount (): number { return this.#exchanges }

  /** Starts a host, or starts it again with empty tables, already holding the configuration that a peer vouches for. */
  startHost (place: HostLocation, loaded = true): void {
    this.#epochs += 1
    const self: Member = {
      host: toId<HostId>(place.host),
      role: 'entry',
      region: toId<RegionId>(place.region),
      zone: toId<ZoneId>(place.zone),
      site: toId<SiteId>(place.zone),
      link: { address: place.host, port: 1 },
      callers: { address: place.host, port: 2 },
      epoch: this.#epochs,
      incarnation: 0,
      state: 'alive'
    }
    const seeds = this.locations.filter(other => other.host !== place.host).slice(0, 3).map(other => ({ host: toId<HostId>(other.host), link: { address: other.host, port: 1 } }))
    const world = createEntryWorld({ self, seeds, blocks: new BlockTable([]), randomSeed: this.fleet.random.below(1 << 30), policies: this.policies(), now: this.fleet.now })
    if (loaded) this.loadConfiguration(world.tables)
    this.fleet.add(self.host, world, (node, row: EntryOutput) => { this.#deliver(node, row) })
  }

  /** Gives a host the configuration and a vouch for it. */
  loadConfiguration (tables: EntryTables): void {
    installSnapshot(tables.configuration, this.snapshot)
    const vouch: Vouch = { index: this.snapshot.index, term: 1, sequence: 1, ageMs: 0 }
    tables.gossip.vouch = vouch
    tables.gossip.vouchedAt = this.fleet.now
    tables.gossip.confirmedAt = this.fleet.now
  }

  tables (host: string): EntryTables {
    const node = this.fleet.nodes.get(toId<HostId>(host))
    if (node === undefined) throw new Error(`no host ${host}`)
    return (node.world as World<EntryTables, EntryInput, EntryOutput>).tables
  }

  /** Adds a server that announces itself to every host of its zone, four times in each expiry. */
  addServer (service: string, name: string, zone: string, slots: number, workMs: Millis): VirtualServer {
    const announcement: Announcement = {
      service: toId<ServiceId>(service), backend: toId<BackendId>(name), region: toId<RegionId>(zone.replace(/\d+$/, '')), zone: toId<ZoneId>(zone), target: { address: name, port: 1 }, slots, epoch: 1, sequence: 0, state: 'up', coldMs: 0
    }
    const server: VirtualServer = { announcement, workMs, isDown: false, startedCount: 0, shedCount: 0, lastStartedAt: -1, runningAttempts: new Map(), queuedAttempts: [], crashCount: 0, scriptAttempt: null }
    this.servers.set(name, server)
    this.#announce(server, 0)
    return server
  }

  /** Crashes a server: everything that runs there is lost, and its next life starts after a while. */
  crashServer (server: VirtualServer, downMs: Millis): void {
    server.crashCount += 1
    for (const { node, row } of server.runningAttempts.values()) this.#report(node, row.exchange, row.attempt, 0, { kind: 'lost', reason: 'ECONNRESET' })
    server.runningAttempts.clear()
    server.isDown = true
    this.fleet.schedule(downMs, () => {
      server.isDown = false
      server.announcement = { ...server.announcement, epoch: server.announcement.epoch + 1 }
    })
  }

  /** A server that begins to leave. */
  startDrain (name: string): void {
    const server = this.servers.get(name)
    if (server !== undefined) server.announcement = { ...server.announcement, state: 'draining' }
  }

  /** Sends a request to an entry host. */
  send (host: string, request: VirtualRequest): ExchangeId {
    this.#exchanges += 1
    const exchange = toId<ExchangeId>(`x${this.#exchanges}`)
    const method = request.method ?? 'GET'
    const path = request.path ?? '/'
    this.#open.set(exchange, { request, host: toId<HostId>(host), sentAt: this.fleet.now })
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

  /** Sends requests of a workspace at an even rate to hosts that a function names. */
  sendAtRate (workspace: WorkspaceId | string, service: string, perSecond: number, from: Millis, until: Millis, hostAt: (now: Millis, n: number) => string): void {
    const pause = 1_000 / perSecond
    let n = 0
    for (let at = from; at < until; at += pause) {
      const number = n
      this.fleet.schedule(at - this.fleet.now, () => { this.send(hostAt(this.fleet.now, number), { service, workspace }) })
      n += 1
    }
  }

  #announce (server: VirtualServer, sequence: number): void {
    if (!server.isDown) {
      for (const place of this.locations) {
        const node = this.fleet.nodes.get(toId<HostId>(place.host))
        if (node === undefined || node.isDown || place.zone !== server.announcement.zone) continue
        node.inbox.push({ kind: 'announcement', announcement: { ...server.announcement, sequence } })
      }
    }
    this.fleet.schedule(ANNOUNCEMENT_INTERVAL, () => { this.#announce(server, sequence + 1) })
  }

  #end (exchange: ExchangeId, kind: VirtualOutcome['kind'], reason: string, ran: string): void {
    const open = this.#open.get(exchange)
    if (open === undefined) return
    this.#open.delete(exchange)
    this.outcomes.push({ exchange, workspace: open.request.workspace, host: open.host, sentAt: open.sentAt, endedAt: this.fleet.now, kind, reason, ran })
  }

  #deliver (node: VirtualNode, row: EntryOutput): void {
    switch (row.kind) {
      case 'send': this.fleet.send(node.host, row); return
      case 'refuse': this.#endRefused(row); return
      case 'start-attempt': this.#attempt(node, row); return
      case 'relay-answer': this.#report(node, row.exchange, row.attempt, 0, { kind: 'complete', answer: { status: 200, headers: {}, body: new Uint8Array() } }); this.#end(row.exchange, 'served', '', 'run'); return
      case 'replay-answer': this.#end(row.exchange, 'served', 'replayed', 'run'); return
      case 'cut-answer': this.#end(row.exchange, 'cut', 'cut', 'unknown')
    }
  }

  #endRefused (row: Refused): void { this.#end(row.exchange, 'refused', row.reason, row.ran) }

  // An idempotent request may run again; only the others must run at most once.
  #countRun (row: AttemptStarted): void {
    if (row.idempotent) return
    const run = this.#open.get(row.exchange)?.request.idempotencyKey ?? row.exchange
    this.runs.set(run, (this.runs.get(run) ?? 0) + 1)
  }

  #report (node: VirtualNode, exchange: AttemptStarted['exchange'], attempt: AttemptStarted['attempt'], afterMs: Millis, result: AttemptResult): void {
    this.fleet.schedule(afterMs, () => {
      if (!node.isDown) node.inbox.push({ kind: 'attempt', exchange, attempt, result })
    })
  }

  #attempt (node: VirtualNode, row: AttemptStarted): void {
    if (row.workspace !== null && row.attempt.endsWith('.1')) this.admissions.push({ workspace: row.workspace, admittedAt: this.fleet.now - row.queueMs })
    const server = this.servers.get(row.target.address)
    if (server === undefined || server.isDown) {
      this.#report(node, row.exchange, row.attempt, 1, { kind: 'not-sent', reason: 'ECONNREFUSED' })
      return
    }
    const scripted = server.scriptAttempt?.(row) ?? null
    if (scripted === null && server.runningAttempts.size >= server.announcement.slots && server.queuedAttempts.length < (server.queueCapacity ?? 0)) {
      server.queuedAttempts.push(() => { this.#run(node, row, server, scripted) })
      return
    }
    if (scripted === null && server.runningAttempts.size >= server.announcement.slots) {
      server.shedCount += 1
      this.#report(node, row.exchange, row.attempt, 1, { kind: 'head', status: 503, shed: true, load: null })
      return
    }
    this.#run(node, row, server, scripted)
  }

  #run (node: VirtualNode, row: AttemptStarted, server: VirtualServer, scripted: ReturnType<NonNullable<VirtualServer['scriptAttempt']>>): void {
    server.startedCount += 1
    server.lastStartedAt = this.fleet.now
    this.#countRun(row)
    const afterMs = scripted?.afterMs ?? processObject(server, this.#open.get(row.exchange)?.request)
    const isAway = server.announcement.region !== this.tables(node.host).gossip.self.region
    this.placements.push({ sentAt: this.#open.get(row.exchange)?.sentAt ?? this.fleet.now, placedAt: this.fleet.now, host: node.host, isAway })
    server.runningAttempts.set(row.attempt, { node, row })
    this.fleet.schedule(afterMs, () => {
      if (!server.runningAttempts.has(row.attempt)) return
      if (this.#open.get(row.exchange)?.request.path === CRASHING_PATH) {
        this.crashServer(server, 1_000)
        return
      }
      server.runningAttempts.delete(row.attempt)
      server.queuedAttempts.shift()?.()
      this.#report(node, row.exchange, row.attempt, 0, scripted?.result ?? { kind: 'head', status: 200, shed: false, load: reportLoad(server) })
    })
  }
}

/** Runs the load of a deployment on its modelled hosts and servers under a virtual clock. The same seed gives the same figures. */

import sin from '@stdlib/math-base-special-sin'
import { toId } from '../core/id.js'
import type { ExchangeId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { EntryPolicies } from '../entry/entryWorld.js'
import type { Plan } from '../plan/types.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import type { VirtualOutcome } from '../stand-ins/virtualEntry.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import type { VirtualServer } from '../stand-ins/virtualServer.js'
import { createLocations, delayByRegion } from '../stand-ins/virtualTopology.js'
import type { HostLocation } from '../stand-ins/virtualTopology.js'
import type { Deployment, DeploymentFault } from './deploymentSchema.js'

/** Figures of one run, over the requests of the measured time. Fractions are 0 to 1. */
export interface RunResult {
  readonly requests: number
  readonly inTarget: number
  readonly late: number
  /** Answered while the caller still waited. */
  readonly answered: number
  /** The same in the region where it is lowest. */
  readonly worstRegion: number
  /** Fraction of the runs at servers that found their object cached. */
  readonly hits: number
  /** Fraction of the runs at servers of another region. */
  readonly away: number
  /** Refused requests by reason, as fractions of all requests. */
  readonly refused: Readonly<Record<string, number>>
  readonly messages: number
}

type RequestKind = Deployment['requests'][number]

const AUTHORITY = 'model.example'
/** Time for servers and hosts to learn of each other before the load begins. */
const START_MS: Millis = 6_000
const RANDOM_WORK_RANGE = 0.3

const createPlan = ({ requests, services, shiftCap, shiftWindowMs }: Deployment): Plan => ({
  version: 1,
  terms: { ...defaultTerms, shiftCap, shiftWindowMs },
  routes: requests.map(({ kind, service, timeoutMs, targetMs, rank }) => ({ route: toId(kind), authority: AUTHORITY, prefix: `/${kind}/`, repetition: 'idempotent', timeoutMs, targetMs, rank, split: [{ service: toId(service), weight: 1 }], attempts: 2, isOpen: true, hasAffinity: true, allowedRegions: [] })),
  services: services.map(({ service }) => ({ service: toId(service), healthPath: '/health', connections: 100, warmup: { coldMs: 0, ratePerS: 1 } })),
  workspaces: [],
  document: null
})

/** One run of a deployment. */
class DeploymentRun {
  readonly fleet: VirtualFleet
  readonly entry: VirtualEntry
  readonly locations: readonly HostLocation[]
  readonly #sent = new Map<ExchangeId, { readonly kind: RequestKind, readonly region: string }>()
  readonly #movedFraction = new Map<string, { readonly to: string, readonly fraction: number }>()

  constructor (readonly deployment: Deployment, readonly load: number, seed: number, policies: () => EntryPolicies) {
    this.fleet = new VirtualFleet(seed)
    this.fleet.network.delay = delayByRegion(deployment.regionDelayMs)
    this.locations = createLocations(deployment.regions, deployment.zonesPerRegion, deployment.hostsPerZone)
    const snapshot = new ConfigurationBuilder().run({ kind: 'put-plan', plan: createPlan(deployment) }).snapshot()
    this.entry = new VirtualEntry(this.fleet, this.locations, snapshot, policies)
    for (const service of deployment.services) this.#addServers(service)
  }

  run (): RunResult {
    const { deployment, fleet } = this
    fleet.runFor(START_MS)
    const measuredFrom = fleet.now + deployment.warmUpMs
    fleet.schedule(deployment.warmUpMs, () => { this.#resetCounters() })
    for (const fault of deployment.faults) fleet.schedule(deployment.warmUpMs + fault.atMs, () => { this.#injectFault(fault) })
    this.#sendUntil(measuredFrom + deployment.measuredMs)
    fleet.runFor(Math.max(...deployment.requests.map(kind => kind.timeoutMs)))
    return this.#summarize(measuredFrom)
  }

  #addServers ({ service, serversPerZone, slots, queue, cachedObjects, cachedWorkFraction }: Deployment['services'][number]): void {
    for (const zone of new Set(this.locations.map(location => location.zone))) {
      const servers = serversPerZone[zone.replace(/\d+$/, '')] ?? 0
      for (let number = 1; number <= servers; number += 1) {
        const server = this.entry.addServer(service, `${service}-${zone}-${number}`, zone, slots, 1)
        server.reportsLoad = true
        server.queueCapacity = queue
        if (cachedObjects > 0) server.cache = { capacity: cachedObjects, warmFactor: cachedWorkFraction, objects: new Set() }
      }
    }
  }

  #resetCounters (): void {
    for (const { cache } of this.entry.servers.values()) {
      if (cache !== undefined) Object.assign(cache, { reads: 0, hits: 0 })
    }
    this.entry.placements.length = 0
  }

  #injectFault (fault: DeploymentFault): void {
    const servers = [...this.entry.servers.values()]
    switch (fault.kind) {
      case 'lose-caches': this.#loseCaches(servers, fault.zone); return
      case 'move-callers': this.#movedFraction.set(fault.from, fault); return
      case 'slow': for (const server of servers) server.slowdownFactor = this.#isHit(fault) ? fault.factor : 1; return
      case 'leave': for (const server of servers) server.isLeaving = this.#isHit(fault); return
      case 'pause': for (const server of servers) server.pauseUntil = this.#isHit(fault) ? this.fleet.now + fault.forMs : 0
    }
  }

  #isHit ({ fraction }: { readonly fraction: number }): boolean { return this.fleet.random.unit() < fraction }

  #loseCaches (servers: readonly VirtualServer[], zone: string): void {
    for (const server of servers) {
      if (server.announcement.zone === zone) server.cache?.objects.clear()
    }
  }

  #sendUntil (end: Millis): void {
    const { deployment, fleet, load } = this
    const perSecond = deployment.requests.reduce((sum, kind) => sum + kind.perSecond, 0) * load * (1 + deployment.wave.amplitude)
    while (fleet.now < end) {
      this.#sendOne()
      fleet.runFor(2_000 * fleet.random.unit() / perSecond)
    }
  }

  // Requests are drawn at the rate of the crest of the wave, and left out where the wave is lower.
  #sendOne (): void {
    const { deployment, fleet, entry } = this
    const { random } = fleet
    const caller = this.locations[random.below(this.locations.length)]
    const kind = this.#drawKind()
    if (caller === undefined || random.unit() * (1 + deployment.wave.amplitude) >= this.#waveAt(caller.region)) return
    const host = this.#hostFor(caller)
    const affinity = `${kind.kind}-${caller.region}-${random.below(kind.objectsPerRegion)}`
    const workMs = kind.workMs * (1 - RANDOM_WORK_RANGE / 2 + RANDOM_WORK_RANGE * random.unit())
    const exchange = entry.send(host, { service: kind.service, workspace: '', authority: AUTHORITY, path: `/${kind.kind}/x`, affinity, workMs })
    this.#sent.set(exchange, { kind, region: caller.region })
  }

  #drawKind (): RequestKind {
    const { requests } = this.deployment
    let remaining = this.fleet.random.unit() * requests.reduce((sum, kind) => sum + kind.perSecond, 0)
    for (const kind of requests) {
      remaining -= kind.perSecond
      if (remaining < 0) return kind
    }
    return requests[0] as RequestKind
  }

  #waveAt (region: string): number {
    const { wave, regions } = this.deployment
    const phase = regions.indexOf(region) / regions.length
    return 1 + wave.amplitude * sin(2 * Math.PI * (this.fleet.now / wave.periodMs + phase))
  }

  #hostFor (caller: HostLocation): string {
    const moved = this.#movedFraction.get(caller.zone)
    if (moved === undefined || this.fleet.random.unit() >= moved.fraction) return caller.host
    const hosts = this.locations.filter(location => location.zone === moved.to)
    return hosts[this.fleet.random.below(hosts.length)]?.host ?? caller.host
  }

  #summarize (measuredFrom: Millis): RunResult {
    const outcomes = this.entry.outcomes.filter(row => row.sentAt >= measuredFrom)
    const fractionOf = (number: number, total: number): number => total === 0 ? 0 : number / total
    const caches = [...this.entry.servers.values()].flatMap(server => server.cache ?? [])
    const reads = caches.reduce((sum, cache) => sum + (cache.reads ?? 0), 0)
    const hits = caches.reduce((sum, cache) => sum + (cache.hits ?? 0), 0)
    const refused: Record<string, number> = {}
    for (const { kind, reason } of outcomes) {
      if (kind !== 'served') refused[reason] = (refused[reason] ?? 0) + 1 / outcomes.length
    }
    const served = outcomes.filter(row => row.kind === 'served')
    const inTarget = served.filter(row => this.#isInTarget(row))
    return {
      requests: outcomes.length,
      inTarget: fractionOf(inTarget.length, outcomes.length),
      late: fractionOf(served.length - inTarget.length, outcomes.length),
      answered: this.#answeredOf(outcomes),
      worstRegion: Math.min(...this.deployment.regions.map(region => this.#answeredOf(outcomes.filter(row => this.#sent.get(row.exchange)?.region === region)))),
      hits: fractionOf(hits, reads),
      away: fractionOf(this.entry.placements.filter(row => row.isAway).length, this.entry.placements.length),
      refused,
      messages: this.fleet.messageCount
    }
  }

  #isInTarget ({ exchange, sentAt, endedAt }: VirtualOutcome): boolean {
    return endedAt - sentAt <= (this.#sent.get(exchange)?.kind.targetMs ?? 0)
  }

  #answeredOf (outcomes: readonly VirtualOutcome[]): number {
    const answered = outcomes.filter(({ kind, exchange, sentAt, endedAt }) => kind === 'served' && endedAt - sentAt <= (this.#sent.get(exchange)?.kind.timeoutMs ?? 0))
    return outcomes.length === 0 ? 0 : answered.length / outcomes.length
  }
}

/** Runs a deployment at a multiple of its load. */
export const runDeployment = (deployment: Deployment, load: number, seed: number, policies: () => EntryPolicies): RunResult =>
  new DeploymentRun(deployment, load, seed, policies).run()

/** Runs a scenario under a virtual clock: the same seed gives the same figures. */

import { toId } from '../core/id.js'
import type { HostId } from '../core/id.js'
import type { EntryPolicies } from '../entry/entryWorld.js'
import { grantsOver } from '../invariants/allowanceInvariant.js'
import { doubledRuns } from '../invariants/runInvariant.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { delayByRegion, createLocations } from '../stand-ins/virtualTopology.js'
import type { VirtualOutcome } from '../stand-ins/virtualEntry.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import type { Scenario, ScenarioEvent } from './scenarioSchema.js'

/** What a run of a scenario came to. */
export interface ScenarioResult {
  readonly requests: number
  readonly served: number
  /** Part of the requests inside their workspace's rate that were refused for it. */
  readonly wrongfulRefusals: number
  /** Part served of the worst-served workspace that kept to its rate. */
  readonly worstServed: number
  readonly worstWorkspace: string
  readonly p50: number
  readonly p99: number
  readonly sheds: number
  readonly doubledRuns: number
  readonly grantsOver: number
  /** Time from the order to the last new work at drained servers, in milliseconds. */
  readonly drainMs: number
  readonly messages: number
  /** Latencies of served requests, sorted, in milliseconds. */
  readonly latencies: readonly number[]
}

const WARM_UP_MS = 8_000
const SETTLE_MS = 8_000
const ZONES_PER_REGION = 2

const quantile = (sorted: readonly number[], part: number): number => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0

interface Run { readonly scenario: Scenario, readonly fleet: VirtualFleet, readonly entry: VirtualEntry, readonly loads: Map<string, number>, readonly drains: Map<string, number>, readonly cut: Set<string> }

const build = (scenario: Scenario, seed: number, policies: () => EntryPolicies): Run => {
  const places = createLocations(scenario.regions, ZONES_PER_REGION, scenario.hostsPerZone)
  const fleet = new VirtualFleet(seed)
  fleet.network.delay = delayByRegion(scenario.regionDelayMs)
  const cut = new Set<string>()
  const zoneOf = (host: HostId): string => host.split('-', 1)[0] ?? ''
  fleet.network.isPartitioned = (from, to) => cut.has(zoneOf(from)) !== cut.has(zoneOf(to))
  const builder = new ConfigurationBuilder().profile(defaultTerms).hosts(places)
  for (const row of scenario.services) builder.service(row.service, row.timeoutMs)
  for (const row of scenario.workspaces) builder.workspace(row.workspace, row.rate, row.burst)
  const entry = new VirtualEntry(fleet, places, builder.snapshot(), policies)
  const zones = [...new Set(places.map(place => place.zone))]
  for (const row of scenario.services) {
    for (const zone of zones) {
      for (let copy = 0; copy < row.serversPerZone; copy += 1) entry.addServer(row.service, `${row.service}-${zone}-${copy}`, zone, row.slots, row.workMs)
    }
  }
  const loads = new Map(scenario.workspaces.map(row => [row.workspace, row.load]))
  return { scenario, fleet, entry, loads, drains: new Map(), cut }
}

const happen = (run: Run, event: ScenarioEvent): void => {
  const { fleet, entry, loads, drains, cut } = run
  switch (event.kind) {
    case 'load': loads.set(event.workspace, event.load); return
    case 'drain':
      entry.startDrain(event.server)
      drains.set(event.server, fleet.now)
      return
    case 'crash': {
      const server = entry.servers.get(event.server)
      if (server !== undefined) entry.crashServer(server, 2_000)
      return
    }
    case 'restart': {
      const node = fleet.nodes.get(toId<HostId>(event.host))
      const place = entry.locations.find(row => row.host === event.host)
      if (node !== undefined) node.isDown = true
      if (place !== undefined) entry.startHost(place)
      return
    }
    case 'cut-zone': cut.add(event.zone); return
    case 'heal': cut.clear()
  }
}

const sendTraffic = (run: Run, workspace: Scenario['workspaces'][number], number: number, start: number): void => {
  const { scenario, fleet, entry, loads } = run
  const services = Object.entries(workspace.mix).flatMap(([service, count]) => Array.from({ length: count }, () => service))
  const scheduleNext = (n: number): void => {
    const elapsed = fleet.now - start
    if (elapsed >= scenario.durationMs) return
    const service = services[n % services.length] ?? ''
    const base = number * 5 + Math.floor(elapsed / scenario.hostChangeMs) * 7
    // Callers go to hosts that answer, as they would after a look-up.
    const host = findHost(run, base + n % 3)
    const isLookup = !service.includes('redemption') && !service.includes('deposit')
    entry.send(host, { service, workspace: workspace.workspace, method: isLookup ? 'GET' : 'POST', path: `/${workspace.workspace}/${n}` })
    const load = loads.get(workspace.workspace) ?? 0
    fleet.schedule(1_000 / (workspace.rate * load), () => { scheduleNext(n + 1) })
  }
  fleet.schedule(start - fleet.now, () => { scheduleNext(0) })
}

const findHost = (run: Run, wanted: number): string => {
  const { locations: places } = run.entry
  for (let step = 0; step < places.length; step += 1) {
    const host = places[(wanted + step) % places.length]?.host ?? ''
    const node = run.fleet.nodes.get(toId<HostId>(host))
    if (node !== undefined && !node.isDown) return host
  }
  return places[0]?.host ?? ''
}

const summarize = (run: Run): ScenarioResult => {
  const { scenario, fleet, entry, drains } = run
  const isOver = (workspace: string): boolean => scenario.events.some(event => event.kind === 'load' && event.workspace === workspace && event.load > 1)
  const kept = scenario.workspaces.filter(row => !isOver(row.workspace))
  const of = (workspace: string): VirtualOutcome[] => entry.outcomes.filter(row => row.workspace === workspace)
  const inRate = kept.flatMap(row => of(row.workspace))
  const shares = kept.map(row => ({ workspace: row.workspace, share: of(row.workspace).filter(one => one.kind === 'served').length / Math.max(1, of(row.workspace).length) }))
  const worst = shares.sort((a, b) => a.share - b.share)[0]
  const latencies = inRate.filter(row => row.kind === 'served').map(row => row.endedAt - row.sentAt).sort((a, b) => a - b)
  let over = 0
  for (const row of scenario.workspaces) {
    over = Math.max(over, grantsOver(entry.admissions.filter(grant => grant.workspace === row.workspace), row.rate, row.burst))
  }
  let drainMs = 0
  for (const [name, at] of drains) drainMs = Math.max(drainMs, (entry.servers.get(name)?.lastStartedAt ?? 0) - at)
  let sheds = 0
  for (const server of entry.servers.values()) sheds += server.shedCount
  return {
    requests: entry.sentCount,
    served: entry.outcomes.filter(row => row.kind === 'served').length,
    wrongfulRefusals: inRate.filter(row => row.reason === 'over-rate').length / Math.max(1, inRate.length),
    worstServed: worst?.share ?? 1,
    worstWorkspace: worst?.workspace ?? '',
    p50: quantile(latencies, 0.5),
    p99: quantile(latencies, 0.99),
    sheds,
    doubledRuns: doubledRuns(entry.runs),
    grantsOver: over,
    drainMs: Math.max(0, drainMs),
    messages: fleet.messageCount,
    latencies
  }
}

/** Runs a scenario with one set of policies. */
export const runScenario = (scenario: Scenario, seed: number, policies: () => EntryPolicies): ScenarioResult => {
  const run = build(scenario, seed, policies)
  run.fleet.runFor(WARM_UP_MS)
  const start = run.fleet.now + 10
  for (const [number, workspace] of scenario.workspaces.entries()) sendTraffic(run, workspace, number, start)
  for (const event of scenario.events) run.fleet.schedule(start + event.atMs - run.fleet.now, () => { happen(run, event) })
  run.fleet.runFor(scenario.durationMs + SETTLE_MS)
  return summarize(run)
}

/** What a result breaks of its scenario's bounds. */
export const brokenBounds = (scenario: Scenario, result: ScenarioResult): string[] => {
  const broken: string[] = []
  if (result.doubledRuns > scenario.bounds.doubledRuns) broken.push(`${result.doubledRuns} doubled runs`)
  if (result.grantsOver > scenario.bounds.grantsOver) broken.push(`${result.grantsOver} grants over rate and burst`)
  if (result.worstServed < scenario.bounds.worstServed) broken.push(`${result.worstWorkspace}: only ${(100 * result.worstServed).toFixed(2)} % served`)
  return broken
}

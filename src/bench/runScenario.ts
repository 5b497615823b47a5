/** Runs a scenario under a virtual clock. The same seed gives the same figures. */

import { toId } from '../core/id.js'
import type { HostId } from '../core/id.js'
import type { EntryPolicies } from '../entry/entryWorld.js'
import { maxGrantsOverLimit } from '../invariants/allowanceInvariant.js'
import { countDuplicateRuns } from '../invariants/runInvariant.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { delayByRegion, createLocations } from '../stand-ins/virtualTopology.js'
import type { VirtualOutcome } from '../stand-ins/virtualEntry.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import type { Scenario, ScenarioEvent } from './scenarioSchema.js'

/** Figures of a run of a scenario. */
export interface ScenarioResult {
  readonly requests: number
  readonly served: number
  /** Fraction of the requests of workspaces within their rate that were refused as over the rate, 0 to 1. */
  readonly wrongfulRefusals: number
  /** Lowest fraction of served requests of a workspace within its rate, 0 to 1. */
  readonly worstServed: number
  readonly worstWorkspace: string
  readonly p50: number
  readonly p99: number
  readonly sheds: number
  readonly doubledRuns: number
  /** Largest number of admissions over the rate and burst of a workspace. */
  readonly grantsOver: number
  /** Longest time from a drain to the last new request at the drained server, in milliseconds. */
  readonly drainMs: number
  readonly messages: number
  /** Latencies of the served requests of workspaces within their rate, sorted, in milliseconds. */
  readonly latencies: readonly number[]
}

const WARM_UP_MS = 8_000
const COMPLETION_MS = 8_000
const ZONES_PER_REGION = 2

const quantile = (sorted: readonly number[], fraction: number): number => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0

interface ScenarioRun { readonly scenario: Scenario, readonly fleet: VirtualFleet, readonly entry: VirtualEntry, readonly loads: Map<string, number>, readonly drainStarts: Map<string, number>, readonly cutZones: Set<string> }

const startRun = (scenario: Scenario, seed: number, policies: () => EntryPolicies): ScenarioRun => {
  const locations = createLocations(scenario.regions, ZONES_PER_REGION, scenario.hostsPerZone)
  const fleet = new VirtualFleet(seed)
  fleet.network.delay = delayByRegion(scenario.regionDelayMs)
  const cutZones = new Set<string>()
  const zoneOf = (host: HostId): string => host.split('-', 1)[0] ?? ''
  fleet.network.isPartitioned = (from, to) => cutZones.has(zoneOf(from)) !== cutZones.has(zoneOf(to))
  const builder = new ConfigurationBuilder().profile(defaultTerms).hosts(locations)
  for (const row of scenario.services) builder.service(row.service, row.timeoutMs)
  for (const row of scenario.workspaces) builder.workspace(row.workspace, row.rate, row.burst)
  const entry = new VirtualEntry(fleet, locations, builder.snapshot(), policies)
  const zones = [...new Set(locations.map(location => location.zone))]
  for (const row of scenario.services) {
    for (const zone of zones) {
      for (let copy = 0; copy < row.serversPerZone; copy += 1) entry.addServer(row.service, `${row.service}-${zone}-${copy}`, zone, row.slots, row.workMs)
    }
  }
  const loads = new Map(scenario.workspaces.map(row => [row.workspace, row.load]))
  return { scenario, fleet, entry, loads, drainStarts: new Map(), cutZones }
}

const applyEvent = (run: ScenarioRun, event: ScenarioEvent): void => {
  const { fleet, entry, loads, drainStarts, cutZones } = run
  switch (event.kind) {
    case 'load': loads.set(event.workspace, event.load); return
    case 'drain':
      entry.startDrain(event.server)
      drainStarts.set(event.server, fleet.now)
      return
    case 'crash': {
      const server = entry.servers.get(event.server)
      if (server !== undefined) entry.crashServer(server, 2_000)
      return
    }
    case 'restart': {
      const node = fleet.nodes.get(toId<HostId>(event.host))
      const location = entry.locations.find(row => row.host === event.host)
      if (node !== undefined) node.isDown = true
      if (location !== undefined) entry.startHost(location)
      return
    }
    case 'cut-zone': cutZones.add(event.zone); return
    case 'heal': cutZones.clear()
  }
}

const sendTraffic = (run: ScenarioRun, workspace: Scenario['workspaces'][number], number: number, start: number): void => {
  const { scenario, fleet, entry, loads } = run
  const services = Object.entries(workspace.mix).flatMap(([service, count]) => Array.from({ length: count }, () => service))
  const scheduleNext = (n: number): void => {
    const elapsed = fleet.now - start
    if (elapsed >= scenario.durationMs) return
    const service = services[n % services.length] ?? ''
    const baseIndex = number * 5 + Math.floor(elapsed / scenario.hostChangeMs) * 7
    // Callers send to running hosts only, as they would after a look-up.
    const host = findRunningHost(run, baseIndex + n % 3)
    const isReadOnly = !service.includes('redemption') && !service.includes('deposit')
    entry.send(host, { service, workspace: workspace.workspace, method: isReadOnly ? 'GET' : 'POST', path: `/${workspace.workspace}/${n}` })
    const load = loads.get(workspace.workspace) ?? 0
    fleet.schedule(1_000 / (workspace.rate * load), () => { scheduleNext(n + 1) })
  }
  fleet.schedule(start - fleet.now, () => { scheduleNext(0) })
}

const findRunningHost = (run: ScenarioRun, firstIndex: number): string => {
  const { locations } = run.entry
  for (let step = 0; step < locations.length; step += 1) {
    const host = locations[(firstIndex + step) % locations.length]?.host ?? ''
    const node = run.fleet.nodes.get(toId<HostId>(host))
    if (node !== undefined && !node.isDown) return host
  }
  return locations[0]?.host ?? ''
}

const summarize = (run: ScenarioRun): ScenarioResult => {
  const { scenario, fleet, entry, drainStarts } = run
  const exceedsRate = (workspace: string): boolean => scenario.events.some(event => event.kind === 'load' && event.workspace === workspace && event.load > 1)
  const withinRate = scenario.workspaces.filter(row => !exceedsRate(row.workspace))
  const outcomesOf = (workspace: string): VirtualOutcome[] => entry.outcomes.filter(row => row.workspace === workspace)
  const withinRateOutcomes = withinRate.flatMap(row => outcomesOf(row.workspace))
  const servedFractions = withinRate.map(row => ({ workspace: row.workspace, servedFraction: outcomesOf(row.workspace).filter(outcome => outcome.kind === 'served').length / Math.max(1, outcomesOf(row.workspace).length) }))
  const worst = servedFractions.sort((a, b) => a.servedFraction - b.servedFraction)[0]
  const latencies = withinRateOutcomes.filter(row => row.kind === 'served').map(row => row.endedAt - row.sentAt).sort((a, b) => a - b)
  let maxGrantsOver = 0
  for (const row of scenario.workspaces) {
    maxGrantsOver = Math.max(maxGrantsOver, maxGrantsOverLimit(entry.admissions.filter(grant => grant.workspace === row.workspace), row.rate, row.burst))
  }
  let drainMs = 0
  for (const [name, at] of drainStarts) drainMs = Math.max(drainMs, (entry.servers.get(name)?.lastStartedAt ?? 0) - at)
  let sheds = 0
  for (const server of entry.servers.values()) sheds += server.shedCount
  return {
    requests: entry.sentCount,
    served: entry.outcomes.filter(row => row.kind === 'served').length,
    wrongfulRefusals: withinRateOutcomes.filter(row => row.reason === 'over-rate').length / Math.max(1, withinRateOutcomes.length),
    worstServed: worst?.servedFraction ?? 1,
    worstWorkspace: worst?.workspace ?? '',
    p50: quantile(latencies, 0.5),
    p99: quantile(latencies, 0.99),
    sheds,
    doubledRuns: countDuplicateRuns(entry.runs),
    grantsOver: maxGrantsOver,
    drainMs: Math.max(0, drainMs),
    messages: fleet.messageCount,
    latencies
  }
}

/** Runs a scenario with one policy set. */
export const runScenario = (scenario: Scenario, seed: number, policies: () => EntryPolicies): ScenarioResult => {
  const run = startRun(scenario, seed, policies)
  run.fleet.runFor(WARM_UP_MS)
  const start = run.fleet.now + 10
  for (const [number, workspace] of scenario.workspaces.entries()) sendTraffic(run, workspace, number, start)
  for (const event of scenario.events) run.fleet.schedule(start + event.atMs - run.fleet.now, () => { applyEvent(run, event) })
  run.fleet.runFor(scenario.durationMs + COMPLETION_MS)
  return summarize(run)
}

/** Returns a description of each bound of the scenario that the result violates. */
export const findViolatedBounds = (scenario: Scenario, result: ScenarioResult): string[] => {
  const violations: string[] = []
  if (result.doubledRuns > scenario.bounds.doubledRuns) violations.push(`${result.doubledRuns} doubled runs`)
  if (result.grantsOver > scenario.bounds.grantsOver) violations.push(`${result.grantsOver} grants over rate and burst`)
  if (result.worstServed < scenario.bounds.worstServed) violations.push(`${result.worstWorkspace}: only ${(100 * result.worstServed).toFixed(2)} % served`)
  return violations
}

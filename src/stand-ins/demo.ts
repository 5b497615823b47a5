/** Demo: runs a small fleet in six availability zones under the traffic of two kinds of sites. During the run it withdraws a key, drains a backend server and stops an entry host, and then checks the outcomes. */

import { request } from 'undici'
import { Caller } from './caller.js'
import type { CallerOutcome, CallerRequest } from './caller.js'
import { Fleet } from './fleet.js'
import type { FleetProcess, FleetService } from './fleet.js'
import type { BackendStatistics } from './backendServer.js'

const READINESS_TIMEOUT_MS = 30_000
const TRAFFIC_DURATION_MS = 10_000
const WITHDRAWAL_START_MS = 3_000
const DRAIN_START_MS = 5_000
const HOST_STOP_START_MS = 6_000
/** Maximum times until the withdrawal and the drain take effect. */
const MAX_WITHDRAWAL_MS = 2_000
const MAX_DRAIN_MS = 2_000

const ZONES = ['north', 'middle', 'south'].flatMap(region => ['a', 'b'].map(letter => ({ region, zone: `${region}-${letter}` })))

const SERVICES: readonly FleetService[] = [
  { service: 'balance-lookup', serversPerZone: 1, slots: 6, workMs: 5 },
  { service: 'redemption', serversPerZone: 1, slots: 4, workMs: 10 },
  { service: 'receipt-upload', serversPerZone: 1, slots: 4, workMs: 20 },
  { service: 'calendar', serversPerZone: 1, slots: 6, workMs: 5 },
  { service: 'deposit', serversPerZone: 1, slots: 4, workMs: 10 },
  { service: 'showreel', serversPerZone: 1, slots: 4, workMs: 20 }
]

interface DemoWorkspace { readonly workspace: string, readonly rate: number, readonly perSecond: number, readonly requests: readonly CallerRequest[] }

const UTILITY_REQUESTS: readonly CallerRequest[] = [
  { service: 'balance-lookup', method: 'GET', bytes: 0 },
  { service: 'balance-lookup', method: 'GET', bytes: 0 },
  { service: 'redemption', method: 'POST', bytes: 200 },
  { service: 'receipt-upload', method: 'PUT', bytes: 64 * 1024 }
]
const BOOKING_REQUESTS: readonly CallerRequest[] = [
  { service: 'calendar', method: 'GET', bytes: 0 },
  { service: 'calendar', method: 'GET', bytes: 0 },
  { service: 'deposit', method: 'POST', bytes: 200 },
  { service: 'showreel', method: 'PUT', bytes: 64 * 1024 }
]

const WORKSPACES: readonly DemoWorkspace[] = [
  { workspace: 'residents', rate: 60, perSecond: 30, requests: UTILITY_REQUESTS },
  { workspace: 'retail-partners', rate: 40, perSecond: 20, requests: UTILITY_REQUESTS },
  { workspace: 'field-clerks', rate: 40, perSecond: 20, requests: UTILITY_REQUESTS },
  { workspace: 'riga-desk', rate: 60, perSecond: 30, requests: BOOKING_REQUESTS },
  { workspace: 'kaunas-agency', rate: 40, perSecond: 20, requests: BOOKING_REQUESTS },
  { workspace: 'tallinn-bureau', rate: 40, perSecond: 20, requests: BOOKING_REQUESTS }
]
const WITHDRAWN_WORKSPACE = 'field-clerks'

const printLine = (line = ''): void => { process.stdout.write(`${line}\n`) }
const sleep = async (ms: number): Promise<void> => { await new Promise(resolve => setTimeout(resolve, ms)) }

const sendFor = async (caller: Caller, workspace: DemoWorkspace, until: number, outcomes: CallerOutcome[]): Promise<void> => {
  const pending: Array<Promise<void>> = []
  for (let n = 0; Date.now() < until; n += 1) {
    const next = workspace.requests[n % workspace.requests.length]
    if (next !== undefined) pending.push(caller.send(next).then(outcome => { outcomes.push(outcome) }))
    await sleep(1_000 / workspace.perSecond)
  }
  await Promise.all(pending)
}

/** Waits until each kind of request is served. Non-idempotent requests start later: record hosts that have just started accept only tickets that were issued afterwards. */
const waitUntilServed = async (callers: readonly Caller[]): Promise<void> => {
  const deadline = Date.now() + READINESS_TIMEOUT_MS
  for (const [number, caller] of callers.entries()) {
    for (const next of new Set(WORKSPACES[number]?.requests)) {
      while ((await caller.send(next)).kind !== 'served' && Date.now() < deadline) await sleep(200)
    }
  }
}

const quantile = (sorted: readonly number[], fraction: number): number => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0

const printTable = (outcomes: readonly CallerOutcome[]): void => {
  const groups = new Map<string, CallerOutcome[]>()
  for (const outcome of outcomes) {
    const name = outcome.kind === 'served' ? 'served' : `${outcome.kind}: ${outcome.reason} (${outcome.ran})`
    const key = `${outcome.workspace.padEnd(16)} ${name}`
    groups.set(key, [...groups.get(key) ?? [], outcome])
  }
  printLine(`${'workspace'.padEnd(16)} ${'outcome'.padEnd(40)} ${'count'.padStart(6)} ${'p50 ms'.padStart(8)} ${'p99 ms'.padStart(8)}`)
  for (const [key, group] of [...groups].sort(([a], [b]) => a < b ? -1 : 1)) {
    const sorted = group.map(outcome => outcome.latencyMs).sort((a, b) => a - b)
    printLine(`${key.padEnd(57)} ${String(group.length).padStart(6)} ${quantile(sorted, 0.5).toFixed(1).padStart(8)} ${quantile(sorted, 0.99).toFixed(1).padStart(8)}`)
  }
}

const readStatistics = async (server: FleetProcess): Promise<BackendStatistics | null> => {
  try {
    const answer = await request(`http://${server.addresses.backend ?? ''}/stand-in/statistics`)
    return await answer.body.json() as BackendStatistics
  } catch {
    return null
  }
}

interface Check { readonly name: string, readonly measured: string, readonly isPassed: boolean }

const runDemo = async (fleet: Fleet): Promise<boolean> => {
  const startedAt = Date.now()
  await fleet.start()
  await fleet.configure('careful', { shiftCap: 0.2, shiftWindowMs: 60_000, allowedRegions: [], drainMs: 10_000, whenCutOff: 'serve', staleAfterMs: 10_000 }, 5_000)
  const keys = new Map<string, string>()
  for (const workspace of WORKSPACES) keys.set(workspace.workspace, await fleet.addWorkspace(workspace.workspace, workspace.rate, workspace.rate / 2))
  await fleet.waitUntilReady(30_000)
  const processes = fleet.controlHosts.length + fleet.entryHosts.length + fleet.backendServers.length
  printLine(`${processes} processes in ${ZONES.length} availability zones are ready after ${((Date.now() - startedAt) / 1_000).toFixed(1)} s`)

  const lookupHosts = (): string[] => fleet.entryHosts.map(host => host.addresses.callers ?? '')
  const callers = WORKSPACES.map(workspace => ({ workspace, caller: new Caller(workspace.workspace, keys.get(workspace.workspace) ?? '', lookupHosts) }))
  await waitUntilServed(callers.map(row => row.caller))
  const outcomes: CallerOutcome[] = []
  const start = Date.now()
  const sending = callers.map(async ({ workspace, caller }) => { await sendFor(caller, workspace, start + TRAFFIC_DURATION_MS, outcomes) })

  await sleep(WITHDRAWAL_START_MS)
  const withdrawnAt = Date.now()
  await fleet.withdrawKey(keys.get(WITHDRAWN_WORKSPACE) ?? '')
  const withdrawalMs = Date.now() - withdrawnAt
  await sleep(start + DRAIN_START_MS - Date.now())
  const drainedServer = fleet.backendServers.find(server => server.name.startsWith('balance-lookup'))
  const drainedAt = Date.now()
  await fleet.command('operator', { kind: 'start-drain', service: 'balance-lookup', backend: drainedServer?.name })
  await sleep(start + HOST_STOP_START_MS - Date.now())
  const stoppedHost = fleet.entryHosts[0]
  stoppedHost?.child.kill('SIGTERM')
  await Promise.all(sending)

  const statistics = await Promise.all(fleet.backendServers.map(readStatistics))
  const drainStatistics = drainedServer === undefined ? null : await readStatistics(drainedServer)
  printLine()
  printTable(outcomes)
  printLine()
  const lastServedAt = Math.max(0, ...outcomes.filter(row => row.workspace === WITHDRAWN_WORKSPACE && row.kind === 'served').map(row => row.sentAt))
  const unexpected = outcomes.filter(row => row.kind !== 'served' && !(row.workspace === WITHDRAWN_WORKSPACE && row.reason === 'key-withdrawn'))
  const repeatedRuns = statistics.flatMap(row => Object.values(row?.runsByKey ?? {})).filter(runs => runs > 1).length
  const keysSeen = statistics.reduce((sum, row) => sum + (row?.keysSeen ?? 0), 0)
  const acceptedMs = Math.max(0, lastServedAt - withdrawnAt)
  const drainMs = Math.max(0, (drainStatistics?.lastStartedAt ?? 0) - drainedAt)
  const checks: Check[] = [
    { name: 'unexpected outcomes', measured: `${unexpected.length} of ${outcomes.length} requests`, isPassed: unexpected.length === 0 && outcomes.length > 0 },
    { name: `time until the withdrawn key was last accepted, under ${MAX_WITHDRAWAL_MS} ms`, measured: `${acceptedMs} ms (command completed after ${withdrawalMs} ms)`, isPassed: acceptedMs < MAX_WITHDRAWAL_MS },
    { name: `time until the drained server last received a new request, under ${MAX_DRAIN_MS} ms`, measured: `${drainMs} ms`, isPassed: drainMs < MAX_DRAIN_MS },
    { name: 'non-idempotent requests that ran more than once', measured: String(repeatedRuns), isPassed: repeatedRuns === 0 },
    { name: 'requests that reached a backend server with a key', measured: String(keysSeen), isPassed: keysSeen === 0 },
    { name: 'requests cut by the planned stop of an entry host', measured: String(outcomes.filter(row => row.kind === 'cut').length), isPassed: outcomes.every(row => row.kind !== 'cut') }
  ]
  for (const check of checks) printLine(`${check.isPassed ? 'ok    ' : 'FAILED'} ${check.name}: ${check.measured}`)
  for (const row of unexpected.slice(0, 5)) printLine(`       ${row.workspace} ${row.service} ${row.kind} ${row.reason} ${row.ran}`)
  await Promise.all(callers.map(async ({ caller }) => { await caller.close() }))
  return checks.every(check => check.isPassed)
}

const main = async (): Promise<void> => {
  const fleet = new Fleet({ zones: ZONES, entryHostsPerZone: 2, controlZones: ['north-a', 'middle-a', 'south-a'], services: SERVICES })
  let isPassed = false
  try {
    isPassed = await runDemo(fleet)
  } finally {
    if (process.env.RHUBARBSEAM_KEEP === undefined) await fleet.stop()
    else printLine(`fleet is still running, its folder is ${fleet.folder}`)
  }
  process.exit(isPassed ? 0 : 1)
}

void main()

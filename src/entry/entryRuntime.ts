/** Runs an entry host: connects its world to the front end for callers and to the links to other processes. */

import type { Outcome } from '../core/outcome.js'
import { ok } from '../core/outcome.js'
import { Runner, monotonicClock } from '../core/runner.js'
import { createProcessLinks } from '../front-end/processLinks.js'
import { EventLog } from '../journal/eventLog.js'
import type { BlockTable } from '../lookup/blockTable.js'
import type { Address } from '../core/address.js'
import { linkScope } from '../membership/linkScope.js'
import type { Member, Seed } from '../membership/types.js'
import type { Log } from '../observability/log.js'
import { HandlerFaults } from '../observability/handlerFaults.js'
import { Metrics, metricsListeners } from '../observability/metrics.js'
import type { Tracing } from '../observability/tracing.js'
import type { DisseminationName } from '../gossip/disseminationRegistry.js'
import { openRecorder } from '../journal/recorder.js'
import type { FaultLog } from '../process/containment.js'
import type { SecretFile } from '../process/secretFile.js'
import type { HostAddresses } from '../process/hostAddresses.js'
import type { Listener, RunningProcess, StartError } from '../process/runningProcess.js'
import { createEntryWorld, createPolicies } from './entryWorld.js'
import type { PolicySettings } from './entryWorld.js'
import type { EntryInput, EntryMessage, EntryOutput, EntryTables } from './types.js'

/** Time after which connections that are still open at shutdown are closed, once all requests have finished. */
const CONNECTION_GRACE_MS = 2_000

/** The parts of the process that its front end uses. */
export interface EntryContext {
  readonly tables: EntryTables
  readonly metrics: Metrics
  readonly tracing: Tracing | null
  readonly log: Log
  readonly faults: FaultLog
  /** Queues a row for the next tick. */
  push (row: EntryInput): void
  /** Returns whether the process is shutting down; connections are then not kept alive. */
  isLeaving (): boolean
}

/** The front end of an entry host: serves callers and sends requests to backend servers. */
export interface EntryFrontEnd {
  readonly listeners: readonly Listener[]
  deliver (row: EntryOutput): void
  /** Closes idle connections, and the others when they become idle or after `graceMs`. */
  close (graceMs: number): Promise<void>
}

/** The options of an entry host. */
export interface EntryRuntimeOptions {
  readonly self: Member
  readonly seeds: readonly Seed[]
  readonly fleetKeys: SecretFile
  readonly blocks: BlockTable
  readonly policies: PolicySettings
  /** Between which hosts gossip travels; defaults to `epidemic`, a few random hosts. */
  readonly dissemination?: DisseminationName
  readonly addresses: HostAddresses
  readonly metrics: Address | undefined
  /** Whether Node.js runtime metrics are collected; defaults to true. */
  readonly hasRuntimeMetrics?: boolean
  readonly recordFile: string | undefined
  /** Time after which a process that was asked to stop is killed, in milliseconds; absent if it isn't. */
  readonly stopWithinMs?: number
  readonly tracing: Tracing | null
  readonly log: Log
  createFrontEnd (context: EntryContext): EntryFrontEnd
}

const updateGauges = (metrics: Metrics, tables: EntryTables): void => {
  const { gossip, backends } = tables
  metrics.updateFleetGauges(tables)
  if (gossip.confirmedAt !== null) metrics.configurationAge.set((monotonicClock() - gossip.confirmedAt) / 1_000)
  metrics.backends.reset()
  for (const row of backends.rows()) metrics.backends.inc({ state: row.announcement.state })
}

/** Maximum number of events that `explain` returns without a subject. */
const MAX_LATEST_EVENTS = 100

const explain = (tables: EntryTables, subject: string | null): unknown => ({
  host: tables.gossip.self.host,
  now: monotonicClock(),
  events: subject === null ? tables.journal.latest(MAX_LATEST_EVENTS) : tables.journal.eventsAbout(subject)
})

/** Starts an entry host. Returns an error if it cannot start. */
export const runEntry = async (options: EntryRuntimeOptions): Promise<Outcome<RunningProcess, StartError>> => {
  const { self, seeds, log, tracing, policies } = options
  const metrics = new Metrics(options.hasRuntimeMetrics)
  const faults = new HandlerFaults(metrics, log)
  const randomSeed = Date.now() ^ process.pid
  const start = { self, seeds, randomSeed, now: monotonicClock() }
  const world = createEntryWorld({ ...start, dissemination: options.dissemination, blocks: options.blocks, policies: createPolicies(policies) })
  const { tables } = world
  const recorder = options.recordFile === undefined ? undefined : openRecorder<EntryInput, EntryOutput>(options.recordFile, { ...start, policies })

  let resolveStopped: () => void = () => {}
  const stopped = new Promise<void>(resolve => { resolveStopped = resolve })
  const deliver = (row: EntryOutput): void => {
    if (row.kind === 'send') hub.send(row.to, row.address, row.message)
    else if (row.kind === 'drop-link') hub.drop(row.to)
    else if (row.kind === 'stopped') resolveStopped()
    else frontEnd.deliver(row)
  }
  const runner = new Runner(world, deliver, monotonicClock, recorder)
  const push = (row: EntryInput): void => {
    metrics.ticks.inc()
    runner.push(row)
  }
  const hub = createProcessLinks({
    self: self.host,
    listen: self.link,
    fleetKeys: options.fleetKeys,
    log,
    metrics,
    faults,
    scopeOf: host => linkScope(tables, host),
    onMessage: (from, message) => { push({ kind: 'message', from, message: message as EntryMessage }) }
  })
  const eventLog = new EventLog(log)
  tables.journal.onAppend = row => { eventLog.write(row) }
  const frontEnd = options.createFrontEnd({ tables, metrics, tracing, log, faults, push, isLeaving: () => tables.lifecycle.phase !== 'serving' })
  const listening = await options.addresses.listenAll({ what: 'link', address: self.link, listen: async () => await hub.listen() }, [
    ...frontEnd.listeners,
    ...metricsListeners(options.metrics, { metrics, faults, refresh: () => { updateGauges(metrics, tables) }, explain: subject => explain(tables, subject) })
  ])
  if (listening.tag === 'error') return listening
  runner.start()
  log.info({ zone: self.zone, callers: self.callers }, 'entry host started')

  const close = async (): Promise<void> => {
    await frontEnd.close(CONNECTION_GRACE_MS)
    runner.stop()
    hub.close()
    await tracing?.stop()
    recorder?.close()
    log.info('entry host stopped')
  }
  return ok({
    stop: async () => {
      log.info('entry host is shutting down')
      push({ kind: 'stop', withinMs: options.stopWithinMs ?? null })
      await stopped
      await close()
    }
  })
}

/** Runs an entry host: its world between its edge towards callers and the links to other processes. */

import type { Outcome } from '../core/outcome.js'
import { ok } from '../core/outcome.js'
import { Runner, monotonicClock } from '../core/runner.js'
import { createProcessLinks } from '../front-end/processLinks.js'
import { EventLog } from '../journal/eventLog.js'
import type { BlockTable } from '../lookup/blockTable.js'
import type { Address } from '../core/address.js'
import type { Member, Seed } from '../membership/types.js'
import type { Log } from '../observability/log.js'
import { Metrics, metricsListeners } from '../observability/metrics.js'
import type { Tracing } from '../observability/tracing.js'
import type { FanoutName } from '../gossip/fanout.js'
import { openRecorder } from '../journal/recorder.js'
import type { SecretFile } from '../process/secretFile.js'
import { listenAll } from '../process/runningProcess.js'
import type { Listener, RunningProcess, StartError } from '../process/runningProcess.js'
import { createEntryWorld, createPolicies } from './entryWorld.js'
import type { PolicySettings } from './entryWorld.js'
import type { EntryInput, EntryMessage, EntryOutput, EntryTables } from './types.js'

/** Connections that are still open this long after everything else has finished are closed, in milliseconds. */
const CONNECTION_GRACE_MS = 2_000

/** What an edge may use of its process. */
export interface EntryContext {
  readonly tables: EntryTables
  readonly metrics: Metrics
  readonly tracing: Tracing | null
  readonly log: Log
  push (row: EntryInput): void
  /** Whether the process is leaving, so that connections are not kept. */
  isLeaving (): boolean
}

/** The side of an entry host that speaks with callers and backend servers. */
export interface EntryFrontEnd {
  readonly listeners: readonly Listener[]
  deliver (row: EntryOutput): void
  /** Closes what is idle, waits for the rest, and closes that after the grace, in milliseconds. */
  close (graceMs: number): Promise<void>
}

/** What an entry host is made from. */
export interface EntryRuntimeOptions {
  readonly self: Member
  readonly seeds: readonly Seed[]
  readonly fleetKeys: SecretFile
  readonly blocks: BlockTable
  readonly policies: PolicySettings
  readonly gossipFanout?: FanoutName
  readonly metrics: Address | undefined
  /** Whether the runtime's own metrics are kept; they are when absent. */
  readonly hasRuntimeMetrics?: boolean
  readonly recordFile: string | undefined
  readonly tracing: Tracing | null
  readonly log: Log
  createFrontEnd (context: EntryContext): EntryFrontEnd
}

const refreshGauges = (metrics: Metrics, tables: EntryTables): void => {
  const { gossip, backends } = tables
  metrics.updateFleetGauges(tables)
  if (gossip.confirmedAt !== null) metrics.configurationAge.set((monotonicClock() - gossip.confirmedAt) / 1_000)
  metrics.backends.reset()
  for (const row of backends.rows()) metrics.backends.inc({ state: row.announcement.state })
}

const LATEST_EVENTS = 100

const explain = (tables: EntryTables, subject: string | null): unknown => ({
  host: tables.gossip.self.host,
  now: monotonicClock(),
  events: subject === null ? tables.journal.latest(LATEST_EVENTS) : tables.journal.eventsAbout(subject)
})

/** Starts an entry host; a value says why it cannot start. */
export const runEntry = async (setup: EntryRuntimeOptions): Promise<Outcome<RunningProcess, StartError>> => {
  const { self, seeds, log, tracing, policies } = setup
  const metrics = new Metrics(setup.hasRuntimeMetrics)
  const randomSeed = Date.now() ^ process.pid
  const seed = { self, seeds, randomSeed, now: monotonicClock() }
  const world = createEntryWorld({ ...seed, gossipFanout: setup.gossipFanout, blocks: setup.blocks, policies: createPolicies(policies) })
  const { tables } = world
  const recorder = setup.recordFile === undefined ? undefined : openRecorder<EntryInput, EntryOutput>(setup.recordFile, { ...seed, policies })

  let finish: () => void = () => {}
  const finished = new Promise<void>(resolve => { finish = resolve })
  const deliver = (row: EntryOutput): void => {
    if (row.kind === 'send') hub.send(row.to, row.address, row.message)
    else if (row.kind === 'drop-link') hub.drop(row.to)
    else if (row.kind === 'stopped') finish()
    else edge.deliver(row)
  }
  const runner = new Runner(world, deliver, monotonicClock, recorder)
  const push = (row: EntryInput): void => {
    metrics.ticks.inc()
    runner.push(row)
  }
  const hub = createProcessLinks({
    self: self.host,
    listen: self.link,
    fleetKeys: setup.fleetKeys,
    log,
    metrics,
    onMessage: (from, message) => { push({ kind: 'message', from, message: message as EntryMessage }) }
  })
  const events = new EventLog(log)
  tables.journal.onAppend = row => { events.write(row) }
  const edge = setup.createFrontEnd({ tables, metrics, tracing, log, push, isLeaving: () => tables.lifecycle.phase !== 'serving' })
  const listening = await listenAll([
    { what: 'link', address: self.link, listen: async () => await hub.listen() },
    ...edge.listeners,
    ...metricsListeners(setup.metrics, metrics, () => { refreshGauges(metrics, tables) }, subject => explain(tables, subject))
  ])
  if (listening.tag === 'error') return listening
  runner.start()
  log.info({ zone: self.zone, callers: self.callers }, 'entry host serves')

  const close = async (): Promise<void> => {
    await edge.close(CONNECTION_GRACE_MS)
    runner.stop()
    hub.close()
    await tracing?.stop()
    recorder?.close()
    log.info('entry host has stopped')
  }
  return ok({
    stop: async () => {
      log.info('entry host is leaving')
      push({ kind: 'stop' })
      await finished
      await close()
    }
  })
}

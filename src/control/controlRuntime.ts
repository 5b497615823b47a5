/** Runs a control host: connects its world to the disk, the front end for operators and the links to other processes. */

import { ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import { Runner, monotonicClock } from '../core/runner.js'
import { exitCodes } from '../process/exitCodes.js'
import type { HostAddresses } from '../process/hostAddresses.js'
import type { Listener, RunningProcess, StartError } from '../process/runningProcess.js'
import { EventLog } from '../journal/eventLog.js'
import { createProcessLinks } from '../front-end/processLinks.js'
import type { DisseminationName } from '../gossip/disseminationRegistry.js'
import type { Address } from '../core/address.js'
import { linkScope } from '../membership/linkScope.js'
import type { Member, Seed } from '../membership/types.js'
import { DiskUse } from '../observability/diskUse.js'
import type { Log } from '../observability/log.js'
import { HandlerFaults } from '../observability/handlerFaults.js'
import { Metrics, metricsListeners } from '../observability/metrics.js'
import { diskSize } from '../replicated-log/storageFolder.js'
import type { ReplicaAdmission } from '../replicated-log/replicaAdmission.js'
import type { FaultLog } from '../process/containment.js'
import type { SecretFile } from '../process/secretFile.js'
import { ControlOutbox } from './controlOutbox.js'
import { createControlWorld } from './controlWorld.js'
import { openStore } from './openStore.js'
import type { StoreOptions } from './openStore.js'
import type { ControlAnswer, ControlInput, ControlMessage, ControlTables } from './types.js'

/** The parts of the process that its front end uses. */
export interface ControlContext {
  readonly tables: ControlTables
  readonly metrics: Metrics
  readonly log: Log
  readonly faults: FaultLog
  /** Queues a row for the next tick. */
  push (row: ControlInput): void
}

/** The front end of a control host: serves operators and look-ups. */
export interface ControlFrontEnd {
  readonly listeners: readonly Listener[]
  deliver (row: ControlAnswer): void
  close (): void
}

/** The options of a control host. */
export interface ControlRuntimeOptions extends StoreOptions {
  readonly self: Member
  readonly seeds: readonly Seed[]
  readonly fleetKeys: SecretFile
  readonly admission: ReplicaAdmission
  /** Time without a report after which a backend server is considered gone, in milliseconds. */
  readonly reportExpiryMs: number
  /** Between which hosts gossip travels; defaults to `epidemic`, a few random hosts. */
  readonly dissemination?: DisseminationName
  readonly addresses: HostAddresses
  readonly metrics: Address | undefined
  createFrontEnd (context: ControlContext): ControlFrontEnd
}

/** Starts a control host. Returns an error if it cannot start. */
export const runControl = async (options: ControlRuntimeOptions): Promise<Outcome<RunningProcess, StartError>> => {
  const { self, seeds, log } = options
  const metrics = new Metrics()
  const opened = await openStore(options, metrics)
  if (opened.tag === 'error') {
    await options.addresses.release()
    return opened
  }
  const { store, image } = opened.value
  const faults = new HandlerFaults(metrics, log)
  const diskUse = new DiskUse(metrics, log, diskSize(options.dataFolder))
  diskUse.record(store.bytes)
  const world = createControlWorld({ self, seeds, image, dissemination: options.dissemination, admission: options.admission, reportExpiryMs: options.reportExpiryMs, randomSeed: Date.now() ^ process.pid, now: monotonicClock() })
  const { tables } = world
  const eventLog = new EventLog(log)
  tables.journal.onAppend = row => { eventLog.write(row) }
  const push = (row: ControlInput): void => {
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
    onMessage: (from, message) => { push({ kind: 'message', from, message: message as ControlMessage }) }
  })
  const frontEnd = options.createFrontEnd({ tables, metrics, log, faults, push })
  const outbox = new ControlOutbox({
    write: async records => {
      const outcome = await store.write(records)
      diskUse.record(store.bytes)
      return outcome
    },
    send: row => { hub.send(row.to, row.address, row.message) },
    drop: row => { hub.drop(row.to) },
    answer: row => { frontEnd.deliver(row) },
    push,
    onRefusal: reason => {
      metrics.diskRefuses.set(reason === null ? 0 : 1)
      if (reason === null) log.info('the disk takes writes again')
      else log.warn({ reason }, 'the disk refuses writes; this replica confirms nothing until it takes them')
    },
    onDiskFailure: error => {
      // After a failed sync the state of the disk is unknown. Continuing could lose entries that this replica has acknowledged.
      log.fatal({ err: error }, 'disk write failed; stopping this replica')
      process.exit(exitCodes.diskFailed)
    }
  })
  const runner = new Runner(world, row => { outbox.deliver(row) })

  const listening = await options.addresses.listenAll({ what: 'link', address: self.link, listen: async () => await hub.listen() }, [
    ...frontEnd.listeners,
    ...metricsListeners(options.metrics, { metrics, faults, refresh: () => { metrics.updateFleetGauges(tables) } })
  ])
  if (listening.tag === 'error') return listening
  runner.start()
  log.info({ zone: self.zone, replica: image.replica, index: image.entries.at(-1)?.index ?? image.snapshot?.index ?? 0 }, 'control host started')
  return ok({
    stop: async () => {
      frontEnd.close()
      runner.stop()
      await outbox.stop()
      hub.close()
      store.close()
      log.info('control host stopped')
    }
  })
}

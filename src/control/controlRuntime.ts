/** Runs a control host: its world between the disk, its edge towards operators and the links. */

import { randomUUID } from 'node:crypto'
import { ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import { toId } from '../core/id.js'
import { Runner, monotonicClock } from '../core/runner.js'
import { exitCodes } from '../process/exitCodes.js'
import { listenAll } from '../process/runningProcess.js'
import type { Listener, RunningProcess, StartError } from '../process/runningProcess.js'
import { EventLog } from '../journal/eventLog.js'
import { createProcessLinks } from '../front-end/processLinks.js'
import type { FanoutName } from '../gossip/fanout.js'
import type { Address } from '../core/address.js'
import type { Member, Seed } from '../membership/types.js'
import type { Log } from '../observability/log.js'
import { Metrics, metricsListeners } from '../observability/metrics.js'
import { DiskStore, createReplica, hasReplica } from '../replicated-log/diskStore.js'
import type { ReplicaAdmission } from '../replicated-log/replicaAdmission.js'
import { foundingImage } from '../replicated-log/replicaTables.js'
import type { Replica, ReplicaId } from '../replicated-log/types.js'
import type { SecretFile } from '../process/secretFile.js'
import { ControlOutbox } from './controlOutbox.js'
import { createControlWorld } from './controlWorld.js'
import type { ControlAnswer, ControlInput, ControlMessage, ControlTables } from './types.js'

/** What an edge may use of its process. */
export interface ControlContext {
  readonly tables: ControlTables
  readonly metrics: Metrics
  readonly log: Log
  push (row: ControlInput): void
}

/** The side of a control host that speaks with operators. */
export interface ControlFrontEnd {
  readonly listeners: readonly Listener[]
  deliver (row: ControlAnswer): void
  close (): void
}

/** What a control host is made from. */
export interface ControlRuntimeOptions {
  readonly self: Member
  readonly seeds: readonly Seed[]
  readonly fleetKeys: SecretFile
  readonly dataFolder: string
  /** The first group, where this host may found it on an empty disk; null where it must join. */
  readonly founders: readonly Replica[] | null
  readonly admission: ReplicaAdmission
  /** Silence after which a backend server counts as gone, in milliseconds. */
  readonly reportExpiryMs: number
  readonly gossipFanout?: FanoutName
  readonly metrics: Address | undefined
  readonly log: Log
  createFrontEnd (context: ControlContext): ControlFrontEnd
}

// An empty folder makes a new replica that nobody has admitted: it must not vote in place of a lost one.
const openDisk = ({ dataFolder, self, founders }: ControlRuntimeOptions): ReturnType<typeof DiskStore.open> => {
  if (!hasReplica(dataFolder)) {
    const image = founders === null
      ? { replica: toId<ReplicaId>(`${self.host}#${randomUUID()}`), term: 0, votedFor: null, snapshot: null, entries: [] }
      : foundingImage(toId<ReplicaId>(`${self.host}#0`), { voters: founders, learners: [] })
    const created = createReplica(dataFolder, image)
    if (created.tag === 'error') return created
  }
  return DiskStore.open(dataFolder)
}

/** Starts a control host; a value says why it cannot start. */
export const runControl = async (setup: ControlRuntimeOptions): Promise<Outcome<RunningProcess, StartError>> => {
  const { self, seeds, log } = setup
  const disk = openDisk(setup)
  if (disk.tag === 'error') return disk
  const { store, image } = disk.value
  const metrics = new Metrics()
  const world = createControlWorld({ self, seeds, image, gossipFanout: setup.gossipFanout, admission: setup.admission, reportExpiryMs: setup.reportExpiryMs, randomSeed: Date.now() ^ process.pid, now: monotonicClock() })
  const { tables } = world
  const events = new EventLog(log)
  tables.journal.onAppend = row => { events.write(row) }
  const push = (row: ControlInput): void => {
    metrics.ticks.inc()
    runner.push(row)
  }
  const hub = createProcessLinks({
    self: self.host,
    listen: self.link,
    fleetKeys: setup.fleetKeys,
    log,
    metrics,
    onMessage: (from, message) => { push({ kind: 'message', from, message: message as ControlMessage }) }
  })
  const edge = setup.createFrontEnd({ tables, metrics, log, push })
  const outbox = new ControlOutbox({
    write: async records => { await store.write(records) },
    send: row => { hub.send(row.to, row.address, row.message) },
    drop: row => { hub.drop(row.to) },
    answer: row => { edge.deliver(row) },
    push,
    onDiskFailure: error => {
      // After a failed sync nobody knows what the disk holds; going on could break what was promised to a quorum.
      log.fatal({ err: error }, 'the disk failed; this replica stops')
      process.exit(exitCodes.diskFailed)
    }
  })
  const runner = new Runner(world, row => { outbox.deliver(row) })

  const listening = await listenAll([
    { what: 'link', address: self.link, listen: async () => await hub.listen() },
    ...edge.listeners,
    ...metricsListeners(setup.metrics, metrics, () => { metrics.updateFleetGauges(tables) })
  ])
  if (listening.tag === 'error') return listening
  runner.start()
  log.info({ zone: self.zone, replica: image.replica, index: image.entries.at(-1)?.index ?? image.snapshot?.index ?? 0 }, 'control host serves')
  return ok({
    stop: async () => {
      edge.close()
      runner.stop()
      await outbox.waitForWrites()
      hub.close()
      store.close()
      log.info('control host has stopped')
    }
  })
}

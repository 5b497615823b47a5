/** Opens the replica of a control host when it starts. */

import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import type { Outcome } from '../core/outcome.js'
import type { Millis } from '../core/tick.js'
import type { Member } from '../membership/types.js'
import type { Log } from '../observability/log.js'
import type { Metrics } from '../observability/metrics.js'
import { describeStartError } from '../process/runningProcess.js'
import type { DiskError } from '../replicated-log/diskFormat.js'
import { openReplica } from '../replicated-log/replicaCreation.js'
import type { OpenReplica, ReplicaOrigin } from '../replicated-log/replicaCreation.js'
import type { Replica } from '../replicated-log/types.js'

/** Time for which a start waits for a data folder that can't be used, as of a disk that is full or not mounted yet. */
const FOLDER_WAIT_MS: Millis = 30_000
const FOLDER_RETRY_INTERVAL_MS: Millis = 250

/** What the start of a replica depends on. */
export interface StoreOptions {
  readonly self: Pick<Member, 'host'>
  readonly dataFolder: string
  /** The initial group, if this host may create it in an empty data folder; null if it must join an existing group. */
  readonly founders: readonly Replica[] | null
  readonly log: Log
  /** Ends the wait for the data folder. */
  readonly stopRequest?: AbortSignal
}

// Each loss is reported once, however often the start is tried again.
const originOf = ({ self, founders, log }: StoreOptions, metrics: Pick<Metrics, 'lostReplicas'>): ReplicaOrigin => {
  let isLost = false
  return {
    host: self.host,
    founders: founders === null ? null : { voters: founders, learners: [] },
    onLost: error => {
      if (isLost) return
      isLost = true
      metrics.lostReplicas.inc()
      log.error({ reason: describeStartError(error) }, 'the replica in the data folder cannot be used; joining as a new one')
    },
    onSnapshotSkipped: reason => { log.warn({ reason }, 'no room for a snapshot; the log stays as it is') }
  }
}

/** Opens the replica, or creates it; waits with a bound, in milliseconds, while the data folder can't be used. */
export const openStore = async (options: StoreOptions, metrics: Pick<Metrics, 'lostReplicas'>, waitMs: Millis = FOLDER_WAIT_MS): Promise<Outcome<OpenReplica, DiskError>> => {
  const { dataFolder, log, stopRequest } = options
  const origin = originOf(options, metrics)
  for (let waitedMs = 0; ; waitedMs += FOLDER_RETRY_INTERVAL_MS) {
    const opened = await openReplica(dataFolder, origin)
    const mayChange = opened.tag === 'error' && opened.error.kind === 'folder-unusable'
    if (!mayChange || waitedMs >= waitMs || stopRequest?.aborted === true) return opened
    if (waitedMs === 0) log.warn({ reason: describeStartError(opened.error), waitMs }, 'waiting for the data folder')
    await delay(FOLDER_RETRY_INTERVAL_MS, undefined, { signal: stopRequest }).catch(() => {})
  }
}

/** Returns the data folder of a host for which none is set. It is lost with the machine. */
export const temporaryDataFolder = (host: string, log: Log): string => {
  const folder = join(tmpdir(), 'rhubarbseam', host)
  log.warn({ folder }, 'no data folder is set; the log is in a temporary folder')
  return folder
}

/** Runs an entry host with its real front ends in this process, without links to other hosts, for tests and benchmarks. */

import { toId } from '../core/id.js'
import { Runner, monotonicClock } from '../core/runner.js'
import type { ConfigurationSnapshot } from '../configuration/types.js'
import { installSnapshot } from '../configuration/configurationTables.js'
import { createEntryWorld, defaultPolicies } from '../entry/entryWorld.js'
import type { EntryPolicies } from '../entry/entryWorld.js'
import type { EntryInput, EntryOutput, EntryTables } from '../entry/types.js'
import { isConfigured } from '../exchange/destination.js'
import { AnnouncementServer } from '../front-end/announcementServer.js'
import { CallerServer } from '../front-end/callerServer.js'
import type { CallerProtocol } from '../front-end/callerProtocol.js'
import { ServiceProtocol } from '../front-end/serviceProtocol.js'
import { BlockTable } from '../lookup/blockTable.js'
import { HandlerFaults } from '../observability/handlerFaults.js'
import { createLog } from '../observability/log.js'
import { Metrics } from '../observability/metrics.js'
import type { Tracing } from '../observability/tracing.js'

/** Options of a local entry host. */
export interface LocalEntryOptions {
  readonly snapshot: ConfigurationSnapshot
  readonly policies?: EntryPolicies
  readonly blocks?: BlockTable
  readonly tracing?: Tracing
  readonly announcementToken?: string
  /** Maximum size of a request body, in bytes. */
  readonly bodyBytes?: number
  /** Protocol towards callers and backend servers; the product's own if absent. */
  readonly protocol?: CallerProtocol
}

/** A running local entry host. */
export interface LocalEntry {
  readonly tables: EntryTables
  readonly metrics: Metrics
  readonly callerPort: number
  readonly announcementPort: number
  push (row: EntryInput): void
  stop (): Promise<void>
}

const ADDRESS = '127.0.0.1'

/** Host name of the local entry host. */
export const LOCAL_HOST = 'n1-1'

/** Starts an entry host with a loaded and confirmed configuration. */
export const startLocalEntry = async (options: LocalEntryOptions): Promise<LocalEntry> => {
  const now = monotonicClock()
  const world = createEntryWorld({
    self: {
      host: toId(LOCAL_HOST),
      role: 'entry',
      region: toId('n'),
      zone: toId('n1'),
      site: toId('n1'),
      link: { address: ADDRESS, port: 1 },
      callers: { address: ADDRESS, port: 1 },
      epoch: 1,
      incarnation: 0,
      state: 'alive'
    },
    seeds: [],
    blocks: options.blocks ?? new BlockTable([]),
    randomSeed: 1,
    policies: options.policies ?? defaultPolicies(),
    now
  })
  const { tables } = world
  installSnapshot(tables.configuration, options.snapshot)
  tables.gossip.confirmedAt = now
  const metrics = new Metrics()
  const faults = new HandlerFaults(metrics, createLog(LOCAL_HOST, 'fatal'))
  const runner = new Runner<EntryTables, EntryInput, EntryOutput>(world, row => { callers.deliver(row) })
  const push = (row: EntryInput): void => { runner.push(row) }
  const callers = new CallerServer({
    host: LOCAL_HOST,
    listen: { address: ADDRESS, port: 0 },
    protocol: options.protocol ?? new ServiceProtocol(),
    limits: { bodyBytes: options.bodyBytes ?? 1024 * 1024, bufferedBodyBytes: 16 * 1024, headerBytes: 8 * 1024, connections: 1_000 },
    metrics,
    faults,
    tracing: options.tracing ?? null,
    push,
    isConfigured: target => isConfigured(tables.configuration, target),
    isLeaving: () => tables.lifecycle.phase !== 'serving'
  })
  const announcements = new AnnouncementServer({
    listen: { address: ADDRESS, port: 0 },
    tokens: () => [options.announcementToken ?? 'announcement-token-of-tests'],
    metrics,
    faults,
    push,
    peers: () => []
  })
  const callerPort = await callers.listen()
  const announcementPort = await announcements.listen()
  runner.start()
  return {
    tables,
    metrics,
    callerPort,
    announcementPort,
    push,
    stop: async () => {
      announcements.close()
      await callers.close(200)
      runner.stop()
    }
  }
}

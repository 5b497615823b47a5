/** Measures how traffic, CPU time, disk time and memory grow with the number of nodes, changes, keys and blocks, on virtual fleets and on this machine's disk. */

import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { toId } from '../core/id.js'
import type { HostId, OperatorId, RequestId } from '../core/id.js'
import { RowTable } from '../core/table.js'
import type { KeyGrant } from '../configuration/types.js'
import { encodeMessage } from '../front-end/linkCodec.js'
import type { LinkMessage } from '../front-end/linkCodec.js'
import { DiskStore } from '../replicated-log/diskStore.js'
import { createReplica } from '../replicated-log/replicaCreation.js'
import { foundingImage } from '../replicated-log/replicaTables.js'
import type { ReplicaId } from '../replicated-log/types.js'
import { VirtualControl } from '../stand-ins/virtualControl.js'
import { ConfigurationBuilder } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { delayByRegion, createLocations } from '../stand-ins/virtualTopology.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { BlockTable } from '../lookup/blockTable.js'
import { makeBlocks } from './lookups.js'

type PrintLine = (line: string) => void

/** Size of the TCP, IP and WebSocket headers of a message, in bytes. */
const HEADER_BYTES = 60
const CONVERGENCE_MS = 90_000
const OBSERVATION_MS = 20_000
const CHANGE_COUNT = 20

const quantile = (values: readonly number[], fraction: number): number => [...values].sort((a, b) => a - b)[Math.floor(values.length * fraction)] ?? 0

/** Counts the bytes that messages would take on the network. */
class CountingFleet extends VirtualFleet {
  bytes = 0

  override send (from: HostId, row: Parameters<VirtualFleet['send']>[1]): void {
    this.bytes += encodeMessage(row.message as LinkMessage).length + HEADER_BYTES
    super.send(from, row)
  }
}

const measureNodes = (printLine: PrintLine, hostsPerZone: number): void => {
  const locations = createLocations(['n', 'm', 's'], 2, hostsPerZone)
  const fleet = new CountingFleet(1)
  fleet.network.delay = delayByRegion(27)
  const control = new VirtualControl(fleet, ['n1-c', 'm1-c', 's1-c'])
  const entry = new VirtualEntry(fleet, locations, { ...new ConfigurationBuilder().snapshot(), index: 0 })
  for (const location of locations) {
    const tables = entry.tables(location.host)
    tables.gossip.vouch = null
    tables.gossip.confirmedAt = null
    tables.members.put({ member: control.tables(toId<HostId>('n1-c')).gossip.self, changedAt: 0, index: 0 })
  }
  fleet.runFor(CONVERGENCE_MS)
  const nodes = locations.length + 3
  fleet.bytes = 0
  fleet.messageCount = 0
  const cpuAtStart = process.cpuUsage()
  fleet.runFor(OBSERVATION_MS)
  const idleCpu = process.cpuUsage(cpuAtStart)
  const idleBytes = fleet.bytes
  const idleMessages = fleet.messageCount
  const times: number[] = []
  for (let n = 0; n < CHANGE_COUNT; n += 1) {
    const leader = control.leaders()[0]
    if (leader === undefined) continue
    const proposedAt = fleet.now
    const targetIndex = control.tables(leader).log.lastIndex + 1
    control.propose(leader, { requestId: toId<RequestId>(`r${n}`), operator: toId<OperatorId>('ann'), roles: ['assign'], command: { kind: 'put-workspace', workspace: toId(`w${n}`), expectedVersion: 0, rate: 1, burst: 1, weight: 1 } })
    while (locations.some(location => entry.tables(location.host).configuration.index < targetIndex) && fleet.now - proposedAt < 30_000) fleet.runFor(10)
    times.push(fleet.now - proposedAt)
    fleet.runFor(500)
  }
  const seconds = OBSERVATION_MS / 1_000
  const perNode = (value: number): number => value / nodes / seconds
  const corePercent = 100 * (idleCpu.user + idleCpu.system) / 1e6 / nodes / seconds
  printLine(`${String(nodes).padStart(4)} nodes: ${perNode(idleBytes).toFixed(0)} B/s and ${perNode(idleMessages).toFixed(1)} messages/s sent per node, ${corePercent.toFixed(3)} % of a core per node for the systems alone; time until a change is in force on all entry hosts p50 ${quantile(times, 0.5)} ms, worst ${Math.max(...times)} ms of ${times.length}`)
}

const measureDisk = async (printLine: PrintLine): Promise<void> => {
  const folder = mkdtempSync(join(tmpdir(), 'rhubarbseam-disk-'))
  try {
    const replica = toId<ReplicaId>('c#0')
    await createReplica(folder, foundingImage(replica, { voters: [], learners: [] }))
    const opened = await DiskStore.open(folder)
    if (opened.tag === 'error') throw new Error(JSON.stringify(opened.error))
    const times: number[] = []
    const entries = 2_000
    const start = performance.now()
    for (let n = 0; n < entries; n += 1) {
      const before = performance.now()
      await opened.value.store.write([{ kind: 'entries', entries: [{ index: n + 2, term: 1, payload: { kind: 'command', envelope: { requestId: toId<RequestId>(`r${n}`), operator: toId<OperatorId>('ann'), roles: ['assign'], command: { kind: 'put-workspace', workspace: toId(`w${n}`), expectedVersion: 0, rate: 1, burst: 1, weight: 1 } } } }] }])
      times.push(performance.now() - before)
    }
    const seconds = (performance.now() - start) / 1_000
    opened.value.store.close()
    printLine(`disk: ${Math.round(entries / seconds)} sequential synced writes per second, p50 ${quantile(times, 0.5).toFixed(2)} ms, p99 ${quantile(times, 0.99).toFixed(2)} ms`)
    const before = performance.now()
    const reopened = await DiskStore.open(folder)
    printLine(`recovery: ${entries} entries read in ${(performance.now() - before).toFixed(0)} ms (the log is compacted every 1,000 entries)`)
    if (reopened.tag === 'ok') reopened.value.store.close()
  } finally {
    rmSync(folder, { recursive: true })
  }
}

const heapBytes = (): number => {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers
}

const measureMemory = (printLine: PrintLine): void => {
  const beforeKeys = heapBytes()
  const keys = new RowTable<string, KeyGrant>(row => row.digest)
  const count = 100_000
  for (let n = 0; n < count; n += 1) keys.put({ digest: toId(n.toString(16).padStart(64, '0')), workspace: toId(`w${n % 1_000}`), state: 'given' })
  printLine(`keys: ${((heapBytes() - beforeKeys) / count).toFixed(0)} bytes per key with ${keys.size} keys`)
  const beforeBlocks = heapBytes()
  const table = new BlockTable(makeBlocks(570_000))
  printLine(`blocks: ${(table.bytes / 570_000).toFixed(1)} bytes per block in columns, ${((heapBytes() - beforeBlocks) / 1024 / 1024).toFixed(1)} MB of heap for 570,000`)
}

/** Measures the capacity and prints one line for each figure. */
export const measureCapacity = async (printLine: PrintLine): Promise<void> => {
  printLine('control traffic and propagation of changes, virtual clock, 27 ms one way between regions, 60 bytes of headers per message')
  for (const hostsPerZone of [4, 8, 16, 32]) measureNodes(printLine, hostsPerZone)
  await measureDisk(printLine)
  measureMemory(printLine)
}

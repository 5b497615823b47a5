/** Measures the rate of look-ups, as decisions alone with the target number of client blocks, and over HTTP from one process. */

import { resolve as resolvePath } from 'node:path'
import { Worker } from 'node:worker_threads'
import { toId } from '../core/id.js'
import type { SiteId } from '../core/id.js'
import { SeededRandom } from '../core/random.js'
import { BlockTable } from '../lookup/blockTable.js'
import type { ClientBlock } from '../lookup/blockTable.js'
import { answerLookup } from '../lookup/lookupSystem.js'
import type { LookupReceived } from '../lookup/types.js'
import { startLocalEntry } from '../stand-ins/localEntry.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { createLocations } from '../stand-ins/virtualTopology.js'

/** Number of client blocks at the target size. */
export const TARGET_BLOCKS = 570_000
const TARGET_SITES = 540
const MEGABYTE = 1024 * 1024
const DECISION_COUNT = 2_000_000
const HTTP_SECONDS = 5
const HTTP_CONNECTIONS = 16
const HTTP_WORKERS = 2

const countWorkerLookups = async (origin: string): Promise<number> => await new Promise((resolve, reject) => {
  const worker = new Worker(resolvePath('dist', 'lookupCaller.cjs'), { workerData: { origin, seconds: HTTP_SECONDS, connections: HTTP_CONNECTIONS } })
  worker.once('message', resolve)
  worker.once('error', reject)
})

/** Creates blocks that are spread over the address space without overlaps. */
export const makeBlocks = (count: number): ClientBlock[] => {
  const blocks: ClientBlock[] = []
  const stride = Math.floor(2 ** 32 / count / 256) * 256
  for (let n = 0; n < count; n += 1) blocks.push({ start: n * stride, prefix: 24, site: toId<SiteId>(`site-${n % TARGET_SITES}`) })
  return blocks
}

const snapshot = new ConfigurationBuilder().profile(defaultTerms).service('lookup').hosts(createLocations(['n', 'm', 's'], 2, 4)).snapshot()

/** Measures the look-ups and prints one line for each figure. */
export const measureLookups = async (printLine: (line: string) => void): Promise<void> => {
  let blocks: ClientBlock[] | null = makeBlocks(TARGET_BLOCKS)
  const table = new BlockTable(blocks)
  blocks = null
  const entry = await startLocalEntry({ snapshot, blocks: table })
  const random = new SeededRandom(1)
  const clients = Uint32Array.from({ length: 65_536 }, () => random.below(2 ** 31) * 2)
  const lookup = { kind: 'lookup', lookup: toId('l'), service: toId('lookup'), client: 0 } as { -readonly [K in keyof LookupReceived]: LookupReceived[K] }
  const start = performance.now()
  for (let n = 0; n < DECISION_COUNT; n += 1) {
    lookup.client = clients[n & 65_535] ?? 0
    answerLookup(entry.tables, random, lookup, 0)
  }
  const seconds = (performance.now() - start) / 1_000
  printLine(`decision alone: ${Math.round(DECISION_COUNT / seconds)} per second with ${table.size} address ranges from ${TARGET_BLOCKS} blocks in ${(table.bytes / MEGABYTE).toFixed(1)} MB of columns (target 500,000 per second, under 64 MB)`)
  const origin = `http://127.0.0.1:${entry.callerPort}`
  const callers = Array.from({ length: HTTP_WORKERS }, async () => await countWorkerLookups(origin))
  const answered = (await Promise.all(callers)).reduce((sum, count) => sum + count, 0)
  printLine(`over HTTP: ${Math.round(answered / HTTP_SECONDS)} per second from one process, with ${HTTP_WORKERS} caller threads (target 4,070 per second)`)
  printLine(`resident memory of the process: ${(process.memoryUsage().rss / MEGABYTE).toFixed(0)} MB, including Node.js and the callers`)
  await entry.stop()
}

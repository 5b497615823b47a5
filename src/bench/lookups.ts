/** Look-ups: the decision alone with the target's client blocks, and over HTTP from one process. */

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

/** Client blocks at the size to design for. */
export const TARGET_BLOCKS = 570_000
const TARGET_SITES = 540
const MEGABYTE = 1024 * 1024
const DECISIONS = 2_000_000
const HTTP_SECONDS = 5
const HTTP_CONNECTIONS = 16
const HTTP_CALLERS = 2

const countFromWorker = async (origin: string): Promise<number> => await new Promise((resolve, reject) => {
  const worker = new Worker(resolvePath('dist', 'lookupCaller.cjs'), { workerData: { origin, seconds: HTTP_SECONDS, connections: HTTP_CONNECTIONS } })
  worker.once('message', resolve)
  worker.once('error', reject)
})

/** Blocks spread over the address space, without overlaps. */
export const makeBlocks = (count: number): ClientBlock[] => {
  const blocks: ClientBlock[] = []
  const stride = Math.floor(2 ** 32 / count / 256) * 256
  for (let n = 0; n < count; n += 1) blocks.push({ start: n * stride, prefix: 24, site: toId<SiteId>(`site-${n % TARGET_SITES}`) })
  return blocks
}

const snapshot = new ConfigurationBuilder().profile(defaultTerms).service('lookup').hosts(createLocations(['n', 'm', 's'], 2, 4)).snapshot()

/** Measures and prints. */
export const measureLookups = async (say: (line: string) => void): Promise<void> => {
  let blocks: ClientBlock[] | null = makeBlocks(TARGET_BLOCKS)
  const table = new BlockTable(blocks)
  blocks = null
  const entry = await startLocalEntry({ snapshot, blocks: table })
  const random = new SeededRandom(1)
  const clients = Uint32Array.from({ length: 65_536 }, () => random.below(2 ** 31) * 2)
  const question = { kind: 'lookup', lookup: toId('l'), service: toId('lookup'), client: 0 } as { -readonly [K in keyof LookupReceived]: LookupReceived[K] }
  const start = performance.now()
  for (let n = 0; n < DECISIONS; n += 1) {
    question.client = clients[n & 65_535] ?? 0
    answerLookup(entry.tables, random, question, 0)
  }
  const seconds = (performance.now() - start) / 1_000
  say(`decision alone: ${Math.round(DECISIONS / seconds)} a second with ${table.size} runs of ${TARGET_BLOCKS} blocks in ${(table.bytes / MEGABYTE).toFixed(1)} MB of columns (target 500,000 a second, under 64 MB)`)
  const origin = `http://127.0.0.1:${entry.callerPort}`
  const callers = Array.from({ length: HTTP_CALLERS }, async () => await countFromWorker(origin))
  const answered = (await Promise.all(callers)).reduce((sum, count) => sum + count, 0)
  say(`over HTTP: ${Math.round(answered / HTTP_SECONDS)} a second from one process, ${HTTP_CALLERS} threads of callers beside it (target 4,070 a second)`)
  say(`resident memory of the process: ${(process.memoryUsage().rss / MEGABYTE).toFixed(0)} MB, node itself and the caller included`)
  await entry.stop()
}

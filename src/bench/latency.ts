/** Measures the latency that an entry host adds to a direct request to the same fake backend server. */

import { Agent } from 'undici'
import { digestKey } from '../key-check/keyCheck.js'
import { BackendServer } from '../stand-ins/backendServer.js'
import { startLocalEntry } from '../stand-ins/localEntry.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { createLocations } from '../stand-ins/virtualTopology.js'

const KEY = 'bench-key-0123456789'
const MEASURED_ROUNDS = 3_000
const WARM_UP_ROUNDS = 500

const quantile = (sorted: readonly number[], fraction: number): string => (sorted[Math.floor(sorted.length * fraction)] ?? 0).toFixed(3)

/** Measures the latency and prints one line for each variant. */
export const measureLatency = async (printLine: (line: string) => void): Promise<void> => {
  const snapshot = new ConfigurationBuilder().profile(defaultTerms).service('lookup').hosts(createLocations(['n'], 1, 1))
    .workspace('w', 1_000_000, 1_000_000).run({ kind: 'give-key', digest: digestKey(KEY), workspace: 'w' as never }).snapshot()
  const entry = await startLocalEntry({ snapshot })
  const server = new BackendServer({ service: 'lookup', backend: 'b', region: 'n', zone: 'n1', address: '127.0.0.1', port: 0, slots: 64, announceTo: [`127.0.0.1:${entry.announcementPort}`], token: 'announcement-token-of-tests', workMs: 0 })
  await server.start()
  await new Promise(resolve => setTimeout(resolve, 1_500))
  const agent = new Agent({ pipelining: 1 })
  const variants = [
    { name: 'direct', origin: `http://127.0.0.1:${server.port}`, path: '/item', times: [] as number[] },
    { name: 'through the entry host', origin: `http://127.0.0.1:${entry.callerPort}`, path: '/services/lookup/item', times: [] as number[] }
  ]
  // Requests alternate between the two variants, so that other load on the machine affects both alike.
  for (let round = 0; round < WARM_UP_ROUNDS + MEASURED_ROUNDS; round += 1) {
    for (const variant of variants) {
      const start = performance.now()
      const response = await agent.request({ origin: variant.origin, path: variant.path, method: 'GET', headers: { authorization: `Bearer ${KEY}` } })
      await response.body.dump()
      if (response.statusCode !== 200) throw new Error(`${variant.name}: request failed with status ${response.statusCode}`)
      if (round >= WARM_UP_ROUNDS) variant.times.push(performance.now() - start)
    }
  }
  for (const variant of variants) {
    variant.times.sort((a, b) => a - b)
    printLine(`${variant.name}: p50 ${quantile(variant.times, 0.5)} ms, p90 ${quantile(variant.times, 0.9)} ms, p99 ${quantile(variant.times, 0.99)} ms over ${MEASURED_ROUNDS} requests`)
  }
  printLine('(caller, entry host and fake backend server share one process; the processing time is 0 ms)')
  server.kill()
  await agent.close()
  await entry.stop()
}

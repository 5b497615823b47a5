/** What an entry host adds to a direct request to the same stand-in, in one run. */

import { Agent } from 'undici'
import { digestKey } from '../key-check/keyCheck.js'
import { BackendServer } from '../stand-ins/backendServer.js'
import { startLocalEntry } from '../stand-ins/localEntry.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { createLocations } from '../stand-ins/virtualTopology.js'

const KEY = 'bench-key-0123456789'
const ROUNDS = 3_000
const WARM_UP = 500

const quantile = (sorted: readonly number[], part: number): string => (sorted[Math.floor(sorted.length * part)] ?? 0).toFixed(3)

/** Measures and prints. */
export const measureLatency = async (say: (line: string) => void): Promise<void> => {
  const snapshot = new ConfigurationBuilder().profile(defaultTerms).service('lookup').hosts(createLocations(['n'], 1, 1))
    .workspace('w', 1_000_000, 1_000_000).run({ kind: 'give-key', digest: digestKey(KEY), workspace: 'w' as never }).snapshot()
  const entry = await startLocalEntry({ snapshot })
  const server = new BackendServer({ service: 'lookup', backend: 'b', region: 'n', zone: 'n1', address: '127.0.0.1', port: 0, slots: 64, announceTo: [`127.0.0.1:${entry.announcementPort}`], token: 'announcement-token-of-tests', workMs: 0 })
  await server.start()
  await new Promise(resolve => setTimeout(resolve, 1_500))
  const agent = new Agent({ pipelining: 1 })
  const ways = [
    { name: 'direct', origin: `http://127.0.0.1:${server.port}`, path: '/item', times: [] as number[] },
    { name: 'through the entry host', origin: `http://127.0.0.1:${entry.callerPort}`, path: '/services/lookup/item', times: [] as number[] }
  ]
  // The two ways alternate, so that whatever else the machine does meets both.
  for (let round = 0; round < WARM_UP + ROUNDS; round += 1) {
    for (const way of ways) {
      const start = performance.now()
      const answer = await agent.request({ origin: way.origin, path: way.path, method: 'GET', headers: { authorization: `Bearer ${KEY}` } })
      await answer.body.dump()
      if (answer.statusCode !== 200) throw new Error(`${way.name}: ${answer.statusCode}`)
      if (round >= WARM_UP) way.times.push(performance.now() - start)
    }
  }
  for (const way of ways) {
    way.times.sort((a, b) => a - b)
    say(`${way.name}: p50 ${quantile(way.times, 0.5)} ms, p90 ${quantile(way.times, 0.9)} ms, p99 ${quantile(way.times, 0.99)} ms over ${ROUNDS} requests`)
  }
  say('(caller, entry host and stand-in share one process here; the stand-in works for 0 ms)')
  server.kill()
  await agent.close()
  await entry.stop()
}

/** Worker thread that sends look-ups over HTTP, so that the callers do not run in the entry host's thread. */

import { parentPort, workerData } from 'node:worker_threads'
import { Agent } from 'undici'

const { origin, seconds, connections } = workerData as { origin: string, seconds: number, connections: number }

const sendLookups = async (): Promise<number> => {
  const agent = new Agent({ connections, pipelining: 1 })
  const endAt = performance.now() + seconds * 1_000
  let answered = 0
  await Promise.all(Array.from({ length: connections }, async () => {
    while (performance.now() < endAt) {
      const response = await agent.request({ origin, path: '/v1/lookup?service=lookup', method: 'GET' })
      await response.body.dump()
      if (response.statusCode === 200) answered += 1
    }
  }))
  await agent.close()
  return answered
}

void sendLookups().then(answered => { parentPort?.postMessage(answered) })

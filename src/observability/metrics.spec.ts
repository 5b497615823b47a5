import t from 'tap'
import type { Test } from 'tap'
import { getStatus } from '../stand-ins/rawRequest.js'
import { Metrics, createMetricsListener } from './metrics.js'

const start = async (t: Test): Promise<number> => {
  const listener = createMetricsListener({ metrics: new Metrics(false), faults: { record: () => {} }, refresh: () => {}, explain: () => ({ events: [] }) })
  t.teardown(() => { listener.close() })
  return await listener.listen({ address: '127.0.0.1', port: 0 })
}

t.test('a request line with an invalid URL gets its status and does not end the process', async t => {
  const port = await start(t)
  for (const target of ['//', '////', 'http://', 'http://[', 'http://a:99999/']) t.equal(await getStatus(port, target), 'HTTP/1.1 404 Not Found', target)
  for (const target of ['/metrics', '/explain?subject=a', 'http://localhost/metrics']) t.equal(await getStatus(port, target), 'HTTP/1.1 200 OK', target)
})

import t from 'tap'
import type { Test } from 'tap'
import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { Metrics, serveMetrics } from './metrics.js'

const start = async (t: Test): Promise<number> => {
  const server = await serveMetrics(new Metrics(false), { address: '127.0.0.1', port: 0 }, () => {}, () => ({ events: [] }))
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  return (server.address() as AddressInfo).port
}

const statusOf = async (port: number, target: string): Promise<string> => await new Promise(resolve => {
  const socket = connect(port, '127.0.0.1')
  let received = ''
  socket.on('data', chunk => { received += chunk.toString() })
  socket.on('error', () => {})
  socket.on('close', () => { resolve(received.split('\r\n', 1)[0] ?? '') })
  socket.write(`GET ${target} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n`)
})

t.test('a request line with an invalid URL gets its status and does not end the process', async t => {
  const port = await start(t)
  for (const target of ['//', '////', 'http://', 'http://[', 'http://a:99999/']) t.equal(await statusOf(port, target), 'HTTP/1.1 404 Not Found', target)
  for (const target of ['/metrics', '/explain?subject=a', 'http://localhost/metrics']) t.equal(await statusOf(port, target), 'HTTP/1.1 200 OK', target)
})

import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import t from 'tap'
import type { Test } from 'tap'
import { digestKey } from '../key-check/keyCheck.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { startLocalEntry } from '../stand-ins/localEntry.js'
import type { LocalEntry } from '../stand-ins/localEntry.js'
import { createLocations } from '../stand-ins/virtualTopology.js'
import { MAX_CONCURRENT_REQUESTS } from './callerConnection.js'

const KEY = 'caller-key-0123456789'

const snapshot = new ConfigurationBuilder()
  .profile(defaultTerms)
  .service('coupons', 4_000)
  .hosts(createLocations(['n'], 1, 1))
  .workspace('partner', 10_000, 10_000)
  .run({ kind: 'give-key', digest: digestKey(KEY), workspace: 'partner' as never })
  .snapshot()

/** One caller connection to an entry host with one backend server, whose answers the test sends. */
interface Fixture {
  readonly entry: LocalEntry
  readonly socket: Socket
  /** Requests at the backend server, by path. */
  readonly atServer: Map<string, ServerResponse>
  /** Paths of all requests that the server has received, in order. */
  readonly arrivals: string[]
  readonly received: () => string
  readonly isClosed: () => boolean
}

const listen = async (server: Server): Promise<number> => await new Promise(resolve => {
  server.listen(0, '127.0.0.1', () => {
    const bound = server.address()
    resolve(typeof bound === 'object' && bound !== null ? bound.port : 0)
  })
})

const until = async (condition: () => boolean, what: string): Promise<void> => {
  const start = performance.now()
  while (!condition()) {
    if (performance.now() - start > 10_000) throw new Error(`waited in vain until ${what}`)
    await new Promise(resolve => setTimeout(resolve, 5))
  }
}

const announce = (entry: LocalEntry, port: number, sequence: number): void => {
  entry.push({ kind: 'announcement', announcement: { service: 'coupons' as never, backend: 'b1' as never, region: 'n' as never, zone: 'n1' as never, target: { address: '127.0.0.1', port }, slots: 64, epoch: 1, sequence, state: 'up', coldMs: 0 } })
}

const start = async (t: Test): Promise<Fixture> => {
  const atServer = new Map<string, ServerResponse>()
  const arrivals: string[] = []
  const server = createServer((request: IncomingMessage, response: ServerResponse) => {
    const path = request.url ?? ''
    arrivals.push(path)
    atServer.set(path, response)
    response.once('close', () => { atServer.delete(path) })
  })
  const port = await listen(server)
  const entry = await startLocalEntry({ snapshot })
  announce(entry, port, 1)
  const announcer = setInterval(() => { announce(entry, port, Date.now()) }, 500)
  // A server that is new gets its full number of slots after the slow start.
  const backend = (): { firstSeenAt: number } | undefined => [...entry.tables.backends.rows()][0]
  await until(() => backend() !== undefined, 'the server is known')
  const row = backend()
  if (row !== undefined) row.firstSeenAt = -60_000
  // The token bucket is not refilled for the duration of a loan after a start.
  await new Promise(resolve => setTimeout(resolve, 500))
  const socket = connect(entry.callerPort, '127.0.0.1')
  let received = ''
  let closed = false
  socket.on('data', chunk => { received += chunk.toString() })
  socket.on('close', () => { closed = true })
  socket.on('error', () => {})
  t.teardown(async () => {
    clearInterval(announcer)
    socket.destroy()
    server.close()
    server.closeAllConnections()
    await entry.stop()
  })
  return { entry, socket, atServer, arrivals, received: () => received, isClosed: () => closed }
}

const requestText = (path: string, method = 'GET', body = ''): string =>
  `${method} /services/coupons${path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${KEY}\r\n${body === '' ? '' : `content-length: ${body.length}\r\n`}\r\n${body}`

/** Status and body of each answer in what a caller has received. */
const answersIn = (text: string): string[] => [...text.matchAll(/HTTP\/1\.1 (\d+)[^]*?\r\n\r\n([^]*?)(?=HTTP\/1\.1 |$)/g)].map(([, status, body]) => `${status ?? ''} ${(body ?? '').trim()}`)

const closesIn = (text: string): boolean[] => [...text.matchAll(/HTTP\/1\.1 \d+[^]*?\r\n\r\n/g)].map(([head]) => /connection: close/i.test(head))

t.test('requests of one connection run at once, and their answers come in the order of the requests', async t => {
  const { socket, atServer, received } = await start(t)
  socket.write(requestText('/a') + requestText('/b') + requestText('/c'))
  await until(() => atServer.size === 3, 'all are at the server')
  atServer.get('/c')?.end('c')
  atServer.get('/b')?.end('b')
  await new Promise(resolve => setTimeout(resolve, 100))
  t.equal(received(), '', 'nothing is sent before the first answer')
  atServer.get('/a')?.end('a')
  await until(() => answersIn(received()).length === 3, 'all are answered')
  t.same(answersIn(received()), ['200 a', '200 b', '200 c'])
})

t.test('a non-idempotent request starts only when all requests before it are answered, and those behind it wait', async t => {
  const { socket, atServer, arrivals, received } = await start(t)
  socket.write(requestText('/a') + requestText('/pay', 'POST', 'x') + requestText('/b'))
  await until(() => arrivals.includes('/a'), 'the first is at the server')
  await new Promise(resolve => setTimeout(resolve, 200))
  t.notOk(arrivals.includes('/pay'))
  atServer.get('/a')?.end('a')
  await until(() => arrivals.includes('/pay'), 'the second is at the server')
  atServer.get('/pay')?.end('paid')
  await until(() => arrivals.includes('/b'), 'the third is at the server')
  atServer.get('/b')?.end('b')
  await until(() => answersIn(received()).length === 3, 'all are answered')
  t.same(answersIn(received()), ['200 a', '200 paid', '200 b'])
})

t.test('a caller that leaves cancels all of its requests', async t => {
  const { entry, socket, atServer } = await start(t)
  socket.write(requestText('/a') + requestText('/b') + requestText('/c'))
  await until(() => atServer.size === 3, 'all are at the server')
  socket.destroy()
  await until(() => atServer.size === 0, 'the server has lost all connections')
  t.equal(entry.tables.exchanges.size, 0)
})

t.test('during a shutdown, requests that have started are answered, the last answer closes the connection, and no more start', async t => {
  const { entry, socket, atServer, arrivals, received, isClosed } = await start(t)
  socket.write(requestText('/a') + requestText('/b'))
  await until(() => atServer.size === 2, 'both are at the server')
  entry.push({ kind: 'stop' })
  await until(() => entry.tables.lifecycle.phase === 'leaving', 'the host is leaving')
  socket.write(requestText('/late'))
  atServer.get('/a')?.end('a')
  await until(() => answersIn(received()).length === 1, 'the first is answered')
  atServer.get('/b')?.end('b')
  await until(isClosed, 'the connection is closed')
  t.same({ answers: answersIn(received()), closes: closesIn(received()), arrivals: arrivals.sort() }, { answers: ['200 a', '200 b'], closes: [false, true], arrivals: ['/a', '/b'] })
})

t.test('during a shutdown, the first of two requests that arrive together is answered, and the second counts as not read', async t => {
  for (const first of [requestText('/a'), requestText('/a', 'POST', 'x')]) {
    const { entry, socket, atServer, arrivals, received, isClosed } = await start(t)
    entry.push({ kind: 'stop' })
    await until(() => entry.tables.lifecycle.phase === 'leaving', 'the host is leaving')
    socket.write(first + requestText('/b'))
    await until(() => atServer.size === 1, 'the first is at the server')
    atServer.get('/a')?.end('a')
    await until(isClosed, 'the connection is closed')
    t.same({ answers: answersIn(received()), closes: closesIn(received()), arrivals }, { answers: ['200 a'], closes: [true], arrivals: ['/a'] })
  }
})

t.test('of many requests on one connection only a few run at once, few are read ahead, and all are answered in order', async t => {
  const { entry, socket, atServer, received } = await start(t)
  const paths = Array.from({ length: 200 }, (_, number) => `/${number}`)
  // In small pieces, because what has arrived in one read is parsed as a whole.
  for (const path of paths) {
    socket.write(requestText(path))
    await new Promise(resolve => setImmediate(resolve))
  }
  await until(() => atServer.size === MAX_CONCURRENT_REQUESTS, 'the first are at the server')
  await new Promise(resolve => setTimeout(resolve, 100))
  t.equal(entry.tables.exchanges.size, MAX_CONCURRENT_REQUESTS)
  let most = 0
  const answering = setInterval(() => {
    most = Math.max(most, atServer.size)
    for (const [path, response] of [...atServer].reverse()) response.end(path)
  }, 2)
  await until(() => answersIn(received()).length === paths.length, 'all are answered')
  clearInterval(answering)
  t.ok(most <= MAX_CONCURRENT_REQUESTS, `${most} at once`)
  t.same(answersIn(received()), paths.map(path => `200 ${path}`))
})

t.test('bytes that are no request do not put a refusal in the place of an earlier answer', async t => {
  const { socket, atServer, received, isClosed } = await start(t)
  socket.write(`${requestText('/a')}no request at all\r\n\r\n`)
  await until(() => atServer.size === 1, 'the request is at the server')
  await new Promise(resolve => setTimeout(resolve, 50))
  t.equal(received(), '')
  atServer.get('/a')?.end('a')
  await until(isClosed, 'the connection is closed')
  t.same(answersIn(received()), ['200 a'])
})

import t from 'tap'
import type { Test } from 'tap'
import { spawnSync } from 'node:child_process'
import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { getStatus, sendRaw, statusLineOf } from '../stand-ins/rawRequest.js'
import { waitUntil } from '../stand-ins/waiting.js'
import { MAX_SILENT_MS, MIN_SILENT_MS } from './connectionLimit.js'
import { HttpListener } from './httpListener.js'
import type { HttpListenerOptions } from './httpListener.js'
import { listenOn } from './listen.js'

const LOOPBACK = { address: '127.0.0.1', port: 0 }
const SERVED = 'HTTP/1.1 200 OK'
const FAILED = 'HTTP/1.1 500 Internal Server Error'

interface Fixture { readonly port: number, readonly faults: string[] }

type Handler = (request: IncomingMessage, response: ServerResponse) => unknown

const handlers: Readonly<Record<string, Handler>> = {
  '/served': (_request, response) => response.end('served'),
  '/throws': () => { throw new Error('thrown') },
  '/rejects': async () => {
    await new Promise(resolve => setTimeout(resolve, 5))
    throw new Error('rejected')
  },
  '/throws-after-head': (_request, response) => {
    response.writeHead(200, { 'content-length': 10 }).write('half')
    throw new Error('thrown after the head')
  },
  '/throws-after-end': (_request, response) => {
    response.end('served')
    throw new Error('thrown after the end')
  },
  '/writes-after-end': (_request, response) => {
    response.end('served')
    response.write('more')
  },
  '/sets-invalid-header': (_request, response) => {
    response.setHeader('retry-after', '1')
    response.writeHead(503, { location: 'a\nb' }).end()
  },
  '/fails-to-accept': (request, response) => {
    const { server } = request.socket as unknown as { server: HttpListener & NodeJS.EventEmitter }
    for (const code of ['EMFILE', 'ENFILE', 'ENOBUFS']) server.emit('error', new Error(`accept ${code}`))
    response.end('served')
  },
  '/request-fails': (request, response) => {
    request.emit('error', new Error('reset'))
    response.end('served')
  }
}

const start = async (t: Test, options: Partial<HttpListenerOptions> = {}): Promise<Fixture> => {
  const faults: string[] = []
  const listener = new HttpListener({
    name: 'test',
    faults: { record: (name, error) => { faults.push(`${name}: ${(error as Error).message}`) } },
    handle: (request, response) => handlers[request.url ?? '']?.(request, response),
    ...options
  })
  const port = await listener.listen(LOOPBACK)
  t.teardown(() => { listener.close() })
  return { port, faults }
}

t.test('an error of a handler, thrown at once or later, costs only its request', async t => {
  const { port, faults } = await start(t)
  const statuses: Record<string, string> = {}
  for (const path of Object.keys(handlers)) {
    statuses[path] = await getStatus(port, path)
    t.equal(await getStatus(port, '/served'), SERVED, `served after ${path}`)
  }
  t.matchSnapshot({ statuses, faults })
})

t.test('a response that fails has no header that its handler has set for another status', async t => {
  const { port } = await start(t)
  const response = await sendRaw(port, 'GET /sets-invalid-header HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n')
  t.equal(statusLineOf(response), FAILED)
  t.notMatch(response, /retry-after/i)
})

t.test('a response whose head was sent is never completed after an error', async t => {
  const { port } = await start(t)
  const response = await sendRaw(port, 'GET /throws-after-head HTTP/1.1\r\nhost: h\r\n\r\n')
  t.ok(response === '' || response.endsWith('half'), response)
})

t.test('an error in a protocol switch, or in the rejection of what is no request, closes that connection only', async t => {
  const { port, faults } = await start(t, {
    upgrade: (_request, socket) => {
      socket.emit('error', new Error('reset'))
      throw new Error('upgrade')
    },
    rejectMalformed: () => { throw new Error('malformed') }
  })
  t.equal(await sendRaw(port, 'GET / HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\n'), '')
  t.equal(await sendRaw(port, 'hello there\r\n\r\n'), '')
  t.same(faults, ['test: upgrade', 'test: malformed'])
  t.equal(await getStatus(port, '/served'), SERVED)
})

t.test('a request that its caller leaves is no error of a handler', async t => {
  const { port, faults } = await start(t, { handle: (request, response) => { request.resume().on('close', () => { response.end('late') }) } })
  const text = 'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 1000\r\n\r\npart'
  let closed = 0
  for (let n = 0; n < 10; n += 1) {
    const socket = connect(port, LOOPBACK.address)
    socket.on('error', () => {})
    socket.on('close', () => { closed += 1 })
    socket.write(text, () => { setTimeout(() => { socket.resetAndDestroy() }, 20) })
  }
  await waitUntil('all connections are closed', () => closed === 10)
  t.same(faults, [])
})

t.test('an address that was in use can be listened on once it is free', async t => {
  const holder = createServer()
  const port = await listenOn(holder, LOOPBACK)
  t.equal(holder.listenerCount('error'), 0, 'no listener for errors of the start remains')
  const listener = new HttpListener({ name: 'test', faults: { record: () => {} }, handle: (_request, response) => response.end() })
  t.teardown(() => { listener.close() })
  await t.rejects(listener.listen({ ...LOOPBACK, port }), { code: 'EADDRINUSE' })
  await new Promise<void>(resolve => { holder.close(() => { resolve() }) })
  t.equal(await listener.listen({ ...LOOPBACK, port }), port)
  t.equal(await getStatus(port, '/'), SERVED)
})

const openSilent = async (t: Test, port: number, count: number): Promise<Socket[]> => {
  const sockets: Socket[] = []
  for (let n = 0; n < count; n += 1) {
    const socket = connect(port, LOOPBACK.address)
    socket.on('error', () => {})
    socket.resume()
    sockets.push(socket)
    await new Promise(resolve => socket.once('connect', resolve))
  }
  t.teardown(() => { for (const socket of sockets) socket.destroy() })
  return sockets
}

t.test('connections that are opened and left alone keep no caller out, and are closed', async t => {
  const { port } = await start(t, { maxConnections: 20 })
  const silent = await openSilent(t, port, 20)
  await new Promise(resolve => setTimeout(resolve, MIN_SILENT_MS))
  for (let n = 0; n < 30; n += 1) t.equal(await getStatus(port, '/served'), SERVED)
  await waitUntil('the others are closed as well', () => silent.every(socket => socket.destroyed))
})

t.test('a connection that has sent a request may be used again later than a silent one is closed', async t => {
  const { port } = await start(t, { server: { keepAliveTimeout: 30_000 } })
  const [kept, silent] = await openSilent(t, port, 2)
  if (kept === undefined || silent === undefined) return
  let received = ''
  kept.on('data', chunk => { received += chunk.toString() })
  const send = async (count: number): Promise<void> => {
    kept.write('GET /served HTTP/1.1\r\nhost: h\r\n\r\n')
    await waitUntil('it is served', () => received.split(SERVED).length > count)
  }
  await send(1)
  await waitUntil('the silent connection is closed', () => silent.destroyed)
  await send(2)
  t.notOk(kept.destroyed)
})

t.test('a request that arrived while the process was held up is served, though its connection was silent before', async t => {
  const { port } = await start(t)
  const [socket] = await openSilent(t, port, 1)
  if (socket === undefined) return
  let received = ''
  socket.on('data', chunk => { received += chunk.toString() })
  await getStatus(port, '/served')
  socket.write('GET /served HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n')
  spawnSync('sleep', [String((MAX_SILENT_MS + MIN_SILENT_MS) / 1_000)])
  await waitUntil('it is answered or closed', () => socket.destroyed)
  t.equal(statusLineOf(received), SERVED)
})

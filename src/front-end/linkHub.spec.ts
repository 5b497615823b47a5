import t from 'tap'
import type { Test } from 'tap'
import { connect, createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { WebSocket, WebSocketServer } from 'ws'
import { toId } from '../core/id.js'
import type { HostId } from '../core/id.js'
import { createLog } from '../observability/log.js'
import { decodeFrame, encodeFrame, encodeMessage } from './linkCodec.js'
import type { LinkMessage } from './linkCodec.js'
import { LinkHub } from './linkHub.js'
import { createNonce, createProof } from './linkProof.js'

const KEY = Buffer.from('fleet-key-of-tests-01')
const OTHER_KEY = Buffer.from('another-key-of-tests-2')

interface End { readonly hub: LinkHub, readonly port: number, readonly received: Array<{ from: HostId, message: LinkMessage }>, readonly malformed: string[], readonly faults: string[] }

const start = async (t: Test, name: string, keys: readonly Buffer[]): Promise<End> => {
  const received: End['received'] = []
  const malformed: string[] = []
  const faults: string[] = []
  const hub = new LinkHub({
    self: toId<HostId>(name),
    listen: { address: '127.0.0.1', port: 0 },
    fleetKeys: () => keys,
    log: createLog(name, 'fatal'),
    faults: { record: (_listener, error) => { faults.push((error as Error).message) } },
    events: { onMessage: (from, message) => { received.push({ from, message }) }, onMalformed: reason => { malformed.push(reason) }, onTraffic: () => {} }
  })
  const port = await hub.listen()
  t.teardown(() => { hub.close() })
  return { hub, port, received, malformed, faults }
}

const waitUntil = async (holds: () => boolean): Promise<void> => {
  while (!holds()) await new Promise(resolve => setTimeout(resolve, 5))
}

const fetch: LinkMessage = { kind: 'fetch', after: 3 }
const addressOf = (end: End): { address: string, port: number } => ({ address: '127.0.0.1', port: end.port })

t.test('hosts with a common fleet key exchange messages in both directions, also during a key rotation', async t => {
  const a = await start(t, 'a', [KEY])
  const b = await start(t, 'b', [OTHER_KEY, KEY])
  a.hub.send(toId<HostId>('b'), addressOf(b), fetch)
  await waitUntil(() => b.received.length === 1)
  b.hub.send(toId<HostId>('a'), { address: '', port: 0 }, { kind: 'fetch', after: 4 })
  await waitUntil(() => a.received.length === 1)
  t.matchSnapshot({ a: a.received, b: b.received })
  a.hub.drop(toId<HostId>('b'))
  a.hub.send(toId<HostId>('b'), addressOf(b), fetch)
  await waitUntil(() => b.received.length === 2)
  t.pass('a dropped link is opened again')
})

t.test('a process without the fleet key, or with another host id than expected, is rejected', async t => {
  const a = await start(t, 'a', [OTHER_KEY])
  const b = await start(t, 'b', [KEY])
  a.hub.send(toId<HostId>('b'), addressOf(b), fetch)
  await waitUntil(() => b.malformed.length === 1)
  const c = await start(t, 'c', [KEY])
  c.hub.send(toId<HostId>('somebody-else'), addressOf(b), fetch)
  await waitUntil(() => c.malformed.length === 1)
  t.matchSnapshot({ b: b.malformed, c: c.malformed, received: b.received })
})

t.test('malformed frames are dropped and counted, and the link stays open for valid ones', async t => {
  const b = await start(t, 'b', [KEY])
  const intruder = new WebSocket(`ws://127.0.0.1:${b.port}`)
  intruder.on('error', () => {})
  await new Promise(resolve => intruder.once('message', resolve))
  intruder.send(Buffer.from([0xc1, 0xff, 0x00]))
  await new Promise(resolve => intruder.once('close', resolve))
  t.same(b.malformed, ['malformed hello'])

  const a = await start(t, 'a', [KEY])
  const invalid = [{ kind: 'fetch', after: -1 }, { kind: 'nothing' }, 'text', { kind: 'probe', sequence: 1, index: 1, rumors: [{ topic: 'member' }] }]
  for (const message of invalid) a.hub.send(toId<HostId>('b'), addressOf(b), message as never)
  a.hub.send(toId<HostId>('b'), addressOf(b), fetch)
  await waitUntil(() => b.received.length === 1)
  t.equal(b.malformed.length, 1 + invalid.length)
  t.ok(encodeFrame(fetch).length < 40)
})

// The relay stops forwarding on the existing connection without closing it, as a middlebox that has lost its state does.
t.test('a link whose connection goes silent without being closed is replaced', async t => {
  const a = await start(t, 'a', [KEY])
  const b = await start(t, 'b', [KEY])
  let isSilent = false
  const relay = createServer(near => {
    const far = connect(b.port, '127.0.0.1')
    const silenced = isSilent
    for (const [from, to] of [[near, far], [far, near]] as const) {
      from.on('data', chunk => { if (!isSilent || silenced) to.write(chunk) })
      from.on('error', () => {})
      from.on('close', () => { to.destroy() })
    }
  })
  await new Promise<void>(resolve => { relay.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { relay.close() })
  const { port } = relay.address() as AddressInfo
  const send = (): void => { a.hub.send(toId<HostId>('b'), { address: '127.0.0.1', port }, fetch) }
  send()
  await waitUntil(() => b.received.length === 1)
  isSilent = true
  const timer = setInterval(send, 100)
  await waitUntil(() => b.received.length > 1)
  clearInterval(timer)
  t.pass('messages are delivered over another connection')
})

const LARGE_BYTES = 1024 * 1024
const STRANGERS = 1_100
const RETRY_MS = 200

const closed = async (socket: WebSocket): Promise<void> => { await new Promise(resolve => socket.once('close', resolve)) }

const openAsStranger = (t: Test, port: number): WebSocket => {
  const socket = new WebSocket(`ws://127.0.0.1:${port}`, { perMessageDeflate: false })
  socket.on('error', () => {})
  t.teardown(() => { socket.terminate() })
  return socket
}

t.test('a peer that has not proved its identity is closed when it sends more than the handshake', async t => {
  const b = await start(t, 'b', [KEY])
  const inputs: Readonly<Record<string, (socket: WebSocket) => void>> = {
    'one frame': socket => { socket.send(Buffer.alloc(LARGE_BYTES)) },
    'parts of a frame': socket => { for (let n = 0; n < 100; n += 1) socket.send(Buffer.alloc(100), { fin: false }) },
    pings: socket => { for (let n = 0; n < 100; n += 1) socket.ping(Buffer.alloc(100)) }
  }
  for (const [what, send] of Object.entries(inputs)) {
    const socket = openAsStranger(t, b.port)
    await new Promise(resolve => socket.once('message', resolve))
    const rejected = b.malformed.length
    const isClosed = closed(socket)
    send(socket)
    await isClosed
    t.same(b.malformed.slice(rejected), ['too many bytes before the handshake'], what)
  }
})

// A listener of the test's own: it proves its identity, or sends a large frame first.
const startListener = async (t: Test, isHonest: boolean): Promise<number> => {
  const server = new WebSocketServer({ port: 0, host: '127.0.0.1', perMessageDeflate: false })
  t.teardown(() => { server.close() })
  server.on('connection', (socket, { socket: connection }) => {
    const ownNonce = createNonce()
    socket.on('error', () => {})
    socket.once('message', data => {
      const frame = decodeFrame(data as Buffer)
      const { nonce } = (frame.tag === 'ok' ? frame.value : {}) as { nonce: string }
      connection.cork()
      socket.send(isHonest ? encodeFrame({ host: 'b', proof: createProof(KEY, 'listener', toId<HostId>('b'), nonce, ownNonce) }) : Buffer.alloc(LARGE_BYTES))
      for (let after = 0; after < 1_000; after += 1) socket.send(encodeMessage({ kind: 'fetch', after }))
      connection.uncork()
    })
    socket.send(encodeFrame({ nonce: ownNonce }))
  })
  await new Promise(resolve => server.once('listening', resolve))
  return (server.address() as AddressInfo).port
}

t.test('messages directly behind the welcome do not count as bytes before it', async t => {
  const a = await start(t, 'a', [KEY])
  a.hub.send(toId<HostId>('b'), { address: '127.0.0.1', port: await startListener(t, true) }, fetch)
  await waitUntil(() => a.received.length === 1_000)
  t.same(a.malformed, [])
})

t.test('a listener that sends a large frame before its proof is closed', async t => {
  const a = await start(t, 'a', [KEY])
  a.hub.send(toId<HostId>('b'), { address: '127.0.0.1', port: await startListener(t, false) }, fetch)
  await waitUntil(() => a.malformed.length > 0)
  t.same(a.malformed, ['too many bytes before the handshake'])
  t.same(a.received, [])
})

t.test('peers that open links and leave them alone do not keep hosts out', async t => {
  const b = await start(t, 'b', [KEY])
  for (let n = 0; n < STRANGERS; n += 1) await new Promise(resolve => openAsStranger(t, b.port).once('open', resolve))
  const a = await start(t, 'a', [KEY])
  const send = (): void => { a.hub.send(toId<HostId>('b'), addressOf(b), fetch) }
  const timer = setInterval(send, RETRY_MS)
  await waitUntil(() => b.received.length > 0)
  clearInterval(timer)
  t.same(b.received[0], { from: 'a', message: fetch })
})

t.test('a listener that accepts a link and never speaks is dialled again', async t => {
  const server = new WebSocketServer({ port: 0, host: '127.0.0.1', perMessageDeflate: false })
  t.teardown(() => { server.close() })
  let dials = 0
  server.on('connection', socket => {
    dials += 1
    socket.on('error', () => {})
  })
  await new Promise(resolve => server.once('listening', resolve))
  const a = await start(t, 'a', [KEY])
  const { port } = server.address() as AddressInfo
  const timer = setInterval(() => { a.hub.send(toId<HostId>('b'), { address: '127.0.0.1', port }, fetch) }, RETRY_MS)
  t.teardown(() => { clearInterval(timer) })
  const endAt = performance.now() + 3_000
  await waitUntil(() => dials > 1 || performance.now() > endAt)
  t.ok(dials > 1)
})

import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import { Worker } from 'node:worker_threads'
import t from 'tap'
import type { Test } from 'tap'
import { createServer } from 'node:net'
import { Readable } from 'node:stream'
import type { AddressInfo, Socket } from 'node:net'
import { AttemptClient, classifyFailure } from './attemptClient.js'
import type { AttemptRequest } from './attemptClient.js'

const serve = async (t: Test, respond: (socket: Socket, count: number) => void): Promise<string> => {
  let count = 0
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', () => { respond(socket, count += 1) })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { server.close() })
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
}

const send = async (client: AttemptClient, origin: string, changes: Partial<AttemptRequest> = {}): Promise<unknown> => {
  try {
    const response = await client.send({ origin, path: '/', method: 'GET', headers: {}, body: null, isIdempotent: true, mayKeepConnection: true, timeoutMs: 1_000, ...changes }).response
    return { status: response.statusCode, body: String(response.body) }
  } catch (error) {
    return classifyFailure(error)
  }
}

const HEAD = 'HTTP/1.1 200 OK\r\n'

t.test('responses without content length or chunked framing are complete only if their connection ends without a reset', async t => {
  const client = new AttemptClient()
  t.teardown(async () => { await client.close() })
  const ended = await serve(t, socket => { socket.end(`${HEAD}connection: close\r\n\r\nwhole`) })
  const reset = await serve(t, socket => {
    socket.write(`${HEAD}connection: close\r\n\r\nha`)
    setTimeout(() => { socket.resetAndDestroy() }, 30)
  })
  t.matchSnapshot({ ended: await send(client, ended), reset: await send(client, reset) })
})

t.test('responses that are cut off, sent twice or not HTTP', async t => {
  const client = new AttemptClient()
  t.teardown(async () => { await client.close() })
  const short = await serve(t, socket => { socket.end(`${HEAD}content-length: 10\r\n\r\nhalf`) })
  const cutChunks = await serve(t, socket => { socket.end(`${HEAD}transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n`) })
  const noise = await serve(t, socket => { socket.end('what is this') })
  const silent = await serve(t, () => {})
  const twice = await serve(t, (socket, count) => { socket.write(`${HEAD}content-length: 1\r\n\r\n${count}${HEAD}content-length: 1\r\n\r\nx`) })
  t.matchSnapshot({
    short: await send(client, short),
    cutChunks: await send(client, cutChunks),
    noise: await send(client, noise),
    silent: await send(client, silent, { timeoutMs: 100 }),
    refused: await send(client, 'http://127.0.0.1:1'),
    twiceFirst: await send(client, twice),
    twiceNext: await send(client, twice)
  })
})

const CLOSING_SERVER = `
const { createServer } = require('node:net')
const { parentPort, workerData } = require('node:worker_threads')
const server = createServer(socket => {
  socket.on('error', () => {})
  if (workerData === 'reset') socket.resetAndDestroy()
  else socket.destroy()
})
server.listen(0, '127.0.0.1', () => { parentPort.postMessage(server.address().port) })
`
const BUSY_MS = 100

const occupyOnConnect = (message: unknown): void => {
  (message as { socket: Socket }).socket.prependOnceListener('connect', () => {
    const busyUntil = performance.now() + BUSY_MS
    while (performance.now() < busyUntil);
  })
}

// Guards against attempts that wait for their timeout, or count as sent, because their new connection closed before it was used.
t.test('a connection that closes before it is used ends its attempt', async t => {
  const client = new AttemptClient()
  t.teardown(async () => { await client.close() })
  const sendToClosing = async (how: 'reset' | 'close'): Promise<unknown> => {
    const worker = new Worker(CLOSING_SERVER, { eval: true, workerData: how })
    t.teardown(async () => { await worker.terminate() })
    const port = await new Promise<number>(resolve => { worker.once('message', resolve) })
    return await send(client, `http://127.0.0.1:${port}`, { timeoutMs: 5_000 })
  }
  subscribe('net.client.socket', occupyOnConnect)
  t.teardown(() => unsubscribe('net.client.socket', occupyOnConnect))
  for (const how of ['reset', 'close'] as const) t.same(await sendToClosing(how), { kind: 'not-sent', reason: 'CONNECTION_UNUSED' }, how)
})

t.test('a cancelled attempt closes its connection', async t => {
  const client = new AttemptClient()
  t.teardown(async () => { await client.close() })
  let resolveClosed: () => void = () => {}
  const closed = new Promise<void>(resolve => { resolveClosed = resolve })
  const origin = await serve(t, socket => { socket.on('close', resolveClosed) })
  const running = client.send({ origin, path: '/', method: 'GET', headers: {}, body: null, isIdempotent: true, mayKeepConnection: true, timeoutMs: 5_000 })
  setTimeout(() => { running.abort() }, 50)
  await t.rejects(running.response)
  await closed
  t.pass('the server sees the connection close')
})

t.test('a body without end is cut off after its time, however fast data arrives', async t => {
  const client = new AttemptClient(200)
  t.teardown(async () => { await client.close() })
  let resolveClosed: () => void = () => {}
  const closed = new Promise<void>(resolve => { resolveClosed = resolve })
  const origin = await serve(t, socket => {
    socket.on('close', resolveClosed)
    socket.write(`${HEAD}transfer-encoding: chunked\r\n\r\n`)
    const flood = (): void => {
      if (socket.destroyed) return
      if (socket.write(`400\r\n${'a'.repeat(1_024)}\r\n`)) setImmediate(flood)
      else socket.once('drain', flood)
    }
    flood()
  })
  const { body } = await client.send({ origin, path: '/', method: 'GET', headers: {}, body: null, isIdempotent: true, mayKeepConnection: true, timeoutMs: 5_000 }).response
  if (!(body instanceof Readable)) throw new Error('the body has ended')
  body.resume()
  await t.rejects(new Promise((resolve, reject) => { body.once('end', resolve).once('error', reject) }), { code: 'ATTEMPT_TIMEOUT' })
  await closed
})

/** Far longer than the test may take: only a bound in bytes ends an answer without end. */
const LONG_TIMEOUT_MS = 600_000

// Writes the bytes again and again, as fast as they are taken, until the connection is closed.
const pour = (socket: Socket, start: string, bytes: string): void => {
  const block = Buffer.from(bytes.repeat(Math.ceil(16_384 / bytes.length)))
  const writeMore = (): void => {
    while (!socket.destroyed && socket.write(block));
  }
  socket.on('drain', writeMore)
  socket.write(start)
  writeMore()
}

const CHUNKED_HEAD = `${HEAD}transfer-encoding: chunked\r\n\r\n`

// Guards against hosts that parse for ever what a server pours out around its body.
const endlessOverhead: Readonly<Record<string, readonly [start: string, bytes: string]>> = {
  'no HTTP': ['', 'what is this '],
  'a status line': ['HTTP/1.1 200 ', 'a'],
  'header lines': [HEAD, 'x-more: a\r\n'],
  'one header': [`${HEAD}x-long: `, 'a'],
  'interim responses': ['', 'HTTP/1.1 102 Processing\r\n\r\n'],
  'interim responses with headers': ['', 'HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n'],
  'the size of a chunk': [CHUNKED_HEAD, '0'],
  'a chunk extension': [`${CHUNKED_HEAD}1;`, 'a'],
  'extensions of small chunks': [CHUNKED_HEAD, '1;extension-of-twenty-bytes\r\na\r\n'],
  trailers: [`${CHUNKED_HEAD}0\r\n`, 'x-more: a\r\n'],
  'one trailer': [`${CHUNKED_HEAD}0\r\nx-long: `, 'a']
}

t.test('an answer with bytes without end outside its body is lost at a bound in bytes', async t => {
  const lost: Record<string, unknown> = {}
  for (const [name, [start, bytes]] of Object.entries(endlessOverhead)) {
    const client = new AttemptClient()
    const origin = await serve(t, socket => { pour(socket, start, bytes) })
    lost[name] = await send(client, origin, { timeoutMs: LONG_TIMEOUT_MS })
    await client.close()
  }
  t.matchSnapshot(lost)
})

t.test('a long body in small chunks, or without a length, is no overhead', async t => {
  const client = new AttemptClient()
  t.teardown(async () => { await client.close() })
  const bytes = 200_000
  const small = await serve(t, socket => { socket.write(`${CHUNKED_HEAD}${'1\r\na\r\n'.repeat(bytes)}0\r\n\r\n`) })
  const endless = await serve(t, socket => { socket.end(`${HEAD}connection: close\r\n\r\n${'a'.repeat(bytes)}`) })
  const manyAnswers = await serve(t, socket => { socket.write(`${HEAD}x-large: ${'a'.repeat(10_000)}\r\ncontent-length: 1\r\n\r\na`) })
  const lengthOf = (result: unknown): number => (result as { body: string }).body.length
  t.equal(lengthOf(await send(client, small, { timeoutMs: LONG_TIMEOUT_MS })), bytes)
  t.equal(lengthOf(await send(client, endless, { timeoutMs: LONG_TIMEOUT_MS })), bytes)
  for (let n = 0; n < 20; n += 1) t.equal(lengthOf(await send(client, manyAnswers, { timeoutMs: LONG_TIMEOUT_MS })), 1, 'each answer on a kept connection is counted anew')
})

// Guards against a process that ends because a connection does while the caller of its answer is slow.
t.test('an answer without a length ends while its caller does not read', async t => {
  const client = new AttemptClient()
  t.teardown(async () => { await client.close() })
  const ends: ReadonlyArray<readonly [string, (socket: Socket) => void, string]> = [
    ['is ended', socket => { socket.end() }, 'whole'],
    ['is reset', socket => { socket.resetAndDestroy() }, 'cut']
  ]
  for (const [what, end, expected] of ends) {
    for (const bytes of [258, 262, 270, 290, 310].map(kilobytes => kilobytes * 1_024)) {
      const origin = await serve(t, socket => {
        socket.write(`${HEAD}connection: close\r\n\r\n${'.'.repeat(bytes)}`)
        setTimeout(() => { end(socket) }, 100)
      })
      const { body } = await client.send({ origin, path: '/', method: 'GET', headers: {}, body: null, isIdempotent: true, mayKeepConnection: true, timeoutMs: 5_000 }).response
      await new Promise(resolve => setTimeout(resolve, 250))
      let received = 0
      let outcome = 'whole'
      try {
        for await (const chunk of body as Readable) received += (chunk as Buffer).length
      } catch {
        outcome = 'cut'
      }
      t.equal(outcome, expected, `a slow caller, ${bytes} bytes, then the connection ${what}`)
      if (expected === 'whole') t.equal(received, bytes)
    }
  }
})

import t from 'tap'
import type { Test } from 'tap'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { AttemptClient, classifyFailure } from './attemptClient.js'
import type { AttemptRequest } from './attemptClient.js'

const serve = async (t: Test, answer: (socket: Socket, count: number) => void): Promise<string> => {
  let count = 0
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', () => { answer(socket, count += 1) })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { server.close() })
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
}

const send = async (client: AttemptClient, origin: string, changes: Partial<AttemptRequest> = {}): Promise<unknown> => {
  try {
    const answer = await client.send({ origin, path: '/', method: 'GET', headers: {}, body: null, isIdempotent: true, timeoutMs: 1_000, ...changes }).response
    return { status: answer.statusCode, body: String(answer.body) }
  } catch (error) {
    return classifyFailure(error)
  }
}

const HEAD = 'HTTP/1.1 200 OK\r\n'

t.test('answers without a length are complete only when their connection ends properly', async t => {
  const client = new AttemptClient()
  t.teardown(async () => { await client.close() })
  const ended = await serve(t, socket => { socket.end(`${HEAD}connection: close\r\n\r\nwhole`) })
  const reset = await serve(t, socket => {
    socket.write(`${HEAD}connection: close\r\n\r\nha`)
    setTimeout(() => { socket.resetAndDestroy() }, 30)
  })
  t.matchSnapshot({ ended: await send(client, ended), reset: await send(client, reset) })
})

t.test('answers that break off, come twice or are no answers', async t => {
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

t.test('an attempt that is given up closes its connection', async t => {
  const client = new AttemptClient()
  t.teardown(async () => { await client.close() })
  let noteClose: () => void = () => {}
  const closed = new Promise<void>(resolve => { noteClose = resolve })
  const origin = await serve(t, socket => { socket.on('close', noteClose) })
  const sent = client.send({ origin, path: '/', method: 'GET', headers: {}, body: null, isIdempotent: true, timeoutMs: 5_000 })
  setTimeout(() => { sent.abort() }, 50)
  await t.rejects(sent.response)
  await closed
  t.pass('the server sees the end')
})

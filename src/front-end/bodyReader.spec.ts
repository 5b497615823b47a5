import { createServer, request as startRequest } from 'node:http'
import type { ClientRequest } from 'node:http'
import type { AddressInfo } from 'node:net'
import t from 'tap'
import type { Test } from 'tap'
import { BodyReader } from './bodyReader.js'
import { sendJson } from './jsonBody.js'

const MAX_BYTES = 32 * 1024 * 1024
const CHUNK = Buffer.alloc(64 * 1024, 'a')

const start = async (t: Test): Promise<number> => {
  const bodies = new BodyReader()
  const server = createServer((request, response) => {
    response.on('error', () => {})
    void bodies.readText(request, response, MAX_BYTES).then(text => { if (text !== null) sendJson(response, 200, text.length) })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => {
    server.close()
    server.closeAllConnections()
  })
  return (server.address() as AddressInfo).port
}

interface Upload { readonly request: ClientRequest, readonly answer: Promise<{ status: number, body: string, retryAfter: string | undefined } | null> }

const upload = (port: number, bytes: number): Upload => {
  const request = startRequest({ host: '127.0.0.1', port, method: 'POST', agent: false, headers: { 'content-length': bytes } })
  const answer = new Promise<Awaited<Upload['answer']>>(resolve => {
    request.on('error', () => { resolve(null) })
    request.on('response', response => {
      let body = ''
      response.on('data', chunk => { body += String(chunk) })
      response.on('error', () => {})
      response.on('close', () => { resolve({ status: response.statusCode ?? 0, body, retryAfter: response.headers['retry-after'] }) })
    })
  })
  return { request, answer }
}

const write = async (request: ClientRequest, bytes: number): Promise<void> => {
  for (let left = bytes; left > 0 && !request.destroyed; left -= CHUNK.length) {
    await new Promise<void>(resolve => { request.write(CHUNK.subarray(0, Math.min(left, CHUNK.length)), () => { resolve() }) })
  }
}

const wait = async (ms: number): Promise<void> => { await new Promise(resolve => setTimeout(resolve, ms)) }

t.test('the largest body is read whole, one byte more is refused at once', async t => {
  const port = await start(t)
  const whole = upload(port, MAX_BYTES)
  await write(whole.request, MAX_BYTES)
  whole.request.end()
  t.match(await whole.answer, { status: 200, body: String(MAX_BYTES) })
  const tooLarge = upload(port, MAX_BYTES + 1)
  tooLarge.request.flushHeaders()
  t.match(await tooLarge.answer, { status: 413, body: '{"error":"body-too-large"}' })
})

t.test('while bodies that peers do not finish fill the room, small bodies are read, and the largest one once the others have stalled', async t => {
  const port = await start(t)
  const stalled = [upload(port, MAX_BYTES), upload(port, MAX_BYTES / 2)]
  for (const { request } of stalled) {
    t.teardown(() => { request.destroy() })
    await write(request, MAX_BYTES / 2 - CHUNK.length)
  }
  await write(stalled[0]?.request as ClientRequest, MAX_BYTES / 2)
  const refused = upload(port, MAX_BYTES)
  await write(refused.request, 4 * CHUNK.length)
  t.match(await refused.answer, { status: 503, body: '{"error":"no-room"}', retryAfter: '10' })
  const small = upload(port, 4)
  small.request.end('abcd')
  t.match(await small.answer, { status: 200, body: '4' })
  await wait(2_500)
  const late = upload(port, MAX_BYTES)
  await write(late.request, MAX_BYTES)
  late.request.end()
  t.match(await late.answer, { status: 200, body: String(MAX_BYTES) })
})

t.test('a body without progress is given up', async t => {
  const port = await start(t)
  const slow = upload(port, MAX_BYTES)
  t.teardown(() => { slow.request.destroy() })
  await write(slow.request, 3)
  const timer = setInterval(() => { slow.request.write('a') }, 500)
  const answer = await slow.answer
  clearInterval(timer)
  t.match(answer, { status: 408, body: '{"error":"body-too-slow"}' })
})

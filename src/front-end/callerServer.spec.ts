import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import t from 'tap'
import type { Test } from 'tap'
import { request } from 'undici'
import { digestKey } from '../key-check/keyCheck.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { createLocations } from '../stand-ins/virtualTopology.js'
import { startLocalEntry } from '../stand-ins/localEntry.js'
import type { LocalEntry } from '../stand-ins/localEntry.js'

const KEY = 'caller-key-0123456789'
const TOKEN = 'announcement-token-of-tests'

type Handler = (request: IncomingMessage, response: ServerResponse) => void

interface Scene { readonly entry: LocalEntry, readonly base: string, readonly addServer: (name: string, handler: Handler) => Promise<void> }

const snapshot = new ConfigurationBuilder()
  .profile(defaultTerms)
  .service('coupons', 4_000)
  .hosts(createLocations(['n'], 1, 1))
  .workspace('partner', 10_000, 10_000)
  .run({ kind: 'give-key', digest: digestKey(KEY), workspace: 'partner' as never })
  .snapshot()

const listen = async (server: Server): Promise<number> => await new Promise(resolve => {
  server.listen(0, '127.0.0.1', () => {
    const bound = server.address()
    resolve(typeof bound === 'object' && bound !== null ? bound.port : 0)
  })
})

const start = async (t: Test): Promise<Scene> => {
  const entry = await startLocalEntry({ snapshot, bodyBytes: 100_000 })
  // The bucket earns nothing for the length of a loan after a start.
  await new Promise(resolve => setTimeout(resolve, 500))
  const servers: Server[] = []
  const timers: NodeJS.Timeout[] = []
  t.teardown(async () => {
    for (const timer of timers) clearInterval(timer)
    for (const server of servers) {
      server.close()
      server.closeAllConnections()
    }
    await entry.stop()
  })
  const addServer = async (name: string, handler: Handler): Promise<void> => {
    const server = createServer(handler)
    servers.push(server)
    const port = await listen(server)
    let sequence = 1
    const announceAgain = async (): Promise<number> => {
      sequence += 1
      return await announce(entry, { backend: name, port, sequence })
    }
    t.equal(await announceAgain(), 200, `${name} is announced`)
    timers.push(setInterval(() => { announceAgain().catch(() => {}) }, 500))
  }
  return { entry, base: `http://127.0.0.1:${entry.callerPort}`, addServer }
}

const announce = async (entry: LocalEntry, body: object, token = TOKEN): Promise<number> => {
  const answer = await request(`http://127.0.0.1:${entry.announcementPort}/v1/announcements`, {
    method: 'POST',
    headers: { authorization: `Bearer ${token}` },
    body: JSON.stringify({ service: 'coupons', backend: 'b', region: 'n', zone: 'n1', slots: 4, epoch: 1, sequence: 1, state: 'up', ...body })
  })
  await answer.body.dump()
  return answer.statusCode
}

const ask = async (scene: Scene, path: string, options: { method?: 'GET' | 'POST', headers?: Record<string, string>, body?: string } = {}): Promise<{ status: number, text: string, ran: unknown, reason: unknown }> => {
  const answer = await request(`${scene.base}${path}`, { method: options.method ?? 'GET', headers: { authorization: `Bearer ${KEY}`, ...options.headers }, body: options.body ?? null })
  return { status: answer.statusCode, text: await answer.body.text(), ran: answer.headers['rhubarbseam-ran'], reason: answer.headers['rhubarbseam-reason'] }
}

const raw = async (port: number, text: string): Promise<string> => await new Promise(resolve => {
  const socket = connect(port, '127.0.0.1')
  let received = ''
  socket.on('data', chunk => { received += chunk.toString() })
  socket.on('close', () => { resolve(received) })
  socket.on('error', () => {})
  socket.write(text)
})

const statusLine = (text: string): string => text.split('\r\n', 1)[0] ?? ''

t.test('no backend server sees the key, and the workspace is the key\'s own', async t => {
  const scene = await start(t)
  const seen: Array<{ url: string | undefined, headers: IncomingMessage['headers'] }> = []
  await scene.addServer('b1', (request, response) => {
    seen.push({ url: request.url, headers: request.headers })
    response.end('done')
  })
  const answer = await ask(scene, `/services/coupons/item?key=${KEY}`, { headers: { 'x-api-key': KEY, cookie: `session=${KEY}`, 'rhubarbseam-workspace': 'forged', 'x-note': `it is ${KEY}` } })
  t.equal(answer.status, 200)
  t.notMatch(JSON.stringify(seen), KEY)
  const headers = seen[0]?.headers ?? {}
  t.matchSnapshot({ url: seen[0]?.url, workspace: headers['rhubarbseam-workspace'], cookie: headers.cookie, note: headers['x-note'], authorization: headers.authorization ?? 'absent', apiKey: headers['x-api-key'] ?? 'absent' })
})

t.test('refusals say why and whether the request ran', async t => {
  const scene = await start(t)
  t.matchSnapshot({
    noKey: await ask(scene, '/services/coupons/item', { headers: { authorization: '' } }),
    unknownKey: await ask(scene, '/services/coupons/item', { headers: { authorization: 'Bearer wrong' } }),
    unknownService: await ask(scene, '/services/nothing/item'),
    unknownPath: await ask(scene, '/elsewhere'),
    noServer: await ask(scene, '/services/coupons/item')
  })
})

t.test('hostile requests are refused and the process stays up', async t => {
  const scene = await start(t)
  await scene.addServer('b1', (_request, response) => { response.end('done') })
  const port = scene.entry.callerPort
  const head = 'POST /services/coupons/item HTTP/1.1\r\nhost: x\r\n'
  const results = {
    smuggled: statusLine(await raw(port, `${head}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /admin HTTP/1.1\r\n\r\n`)),
    twoLengths: statusLine(await raw(port, `${head}content-length: 4\r\ncontent-length: 5\r\n\r\nabcd`)),
    notHttp: statusLine(await raw(port, 'hello there\r\n\r\n')),
    hugeHead: statusLine(await raw(port, `GET /services/coupons/item HTTP/1.1\r\nhost: x\r\nx-long: ${'a'.repeat(20_000)}\r\n\r\n`)),
    hugeBody: statusLine(await raw(port, `${head}content-length: 900000\r\n\r\n`)),
    noHost: statusLine(await raw(port, 'GET /services/coupons/item HTTP/1.1\r\nconnection: close\r\n\r\n'))
  }
  t.matchSnapshot(results)
  t.equal((await ask(scene, '/services/coupons/item')).status, 200)
})

t.test('an answer that is cut is never handed over as a whole one', async t => {
  const scene = await start(t)
  await scene.addServer('b1', (_request, response) => {
    response.writeHead(200, { 'content-length': 1_000 })
    response.write('half')
    setTimeout(() => { response.destroy() }, 20)
  })
  // A small answer is taken in whole before the caller sees any of it, so the caller learns that the outcome is unknown.
  const small = await ask(scene, '/services/coupons/item')
  t.matchSnapshot({ status: small.status, ran: small.ran, reason: small.reason })
})

t.test('an answer without a length goes on without one, since nobody can tell whether it is whole', async t => {
  const scene = await start(t)
  await scene.addServer('unframed', (_request, response) => {
    response.useChunkedEncodingByDefault = false
    response.writeHead(200, { connection: 'close' })
    response.end('perhaps whole')
  })
  const text = await raw(scene.entry.callerPort, `GET /services/coupons/x HTTP/1.1\r\nhost: h\r\nauthorization: Bearer ${KEY}\r\n\r\n`)
  const [head = '', body] = text.split('\r\n\r\n')
  t.matchSnapshot({ status: head.split('\r\n', 1)[0], length: /content-length|chunked/i.test(head), closes: /connection: close/i.test(head), body })
})

t.test('a large answer that is cut half-way cuts the caller too', async t => {
  const scene = await start(t)
  await scene.addServer('b1', (_request, response) => {
    response.writeHead(200, { 'content-length': 1_000_000 })
    response.write('x'.repeat(400_000))
    setTimeout(() => { response.destroy() }, 50)
  })
  await t.rejects(ask(scene, '/services/coupons/item'))
})

t.test('an answer that comes late never reaches the next request', async t => {
  const scene = await start(t)
  let count = 0
  await scene.addServer('b1', (request, response) => {
    count += 1
    const delay = count === 1 ? 600 : 0
    setTimeout(() => { response.end(`answer to ${request.url ?? ''}`) }, delay)
  })
  const late = await ask(scene, '/services/coupons/first', { method: 'POST', headers: { 'rhubarbseam-timeout-ms': '200' }, body: 'x' })
  t.same([late.status, late.ran], [502, 'unknown'])
  const answers = await Promise.all(['a', 'b', 'c'].map(async name => (await ask(scene, `/services/coupons/${name}`)).text))
  t.same(answers, ['answer to /a', 'answer to /b', 'answer to /c'])
})

t.test('an idempotent request on a connection that went silent is served by another server', async t => {
  const scene = await start(t)
  const isSilent = { now: false }
  await scene.addServer('silent', (_request, response) => { if (!isSilent.now) response.end('from the first') })
  t.equal((await ask(scene, '/services/coupons/item')).text, 'from the first')
  isSilent.now = true
  await scene.addServer('other', (_request, response) => { response.end('from the other') })
  const answers = await Promise.all([1, 2, 3, 4].map(async () => (await ask(scene, '/services/coupons/item')).text))
  t.same(new Set(answers), new Set(['from the other']))
})

t.test('a shed request is tried elsewhere, and a dead server\'s is', async t => {
  const scene = await start(t)
  await scene.addServer('full', (_request, response) => { response.writeHead(503, { 'retry-after': '1' }).end() })
  await scene.addServer('good', (_request, response) => { response.end('done') })
  t.equal(await announce(scene.entry, { backend: 'dead', port: 9 }), 200)
  for (let n = 0; n < 8; n += 1) t.equal((await ask(scene, '/services/coupons/item', { method: 'POST', body: 'x' })).status, 200)
})

t.test('a large body flows through whole', async t => {
  const scene = await start(t)
  await scene.addServer('b1', (request, response) => {
    let bytes = 0
    request.on('data', chunk => { bytes += (chunk as Buffer).length })
    request.on('end', () => { response.end(String(bytes)) })
  })
  t.equal((await ask(scene, '/services/coupons/item', { method: 'POST', body: 'b'.repeat(90_000) })).text, '90000')
})

t.test('only authenticated and well-formed announcements are taken', async t => {
  const scene = await start(t)
  t.same([
    await announce(scene.entry, { port: 80 }, 'wrong-token'),
    await announce(scene.entry, { port: 'eighty' }),
    await announce(scene.entry, { port: 80, slots: 0 }),
    await announce(scene.entry, { port: 80 })
  ], [401, 400, 400, 200])
  t.equal(scene.entry.tables.backends.size, 1)
})

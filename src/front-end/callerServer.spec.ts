import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import t from 'tap'
import type { Test } from 'tap'
import { request } from 'undici'
import { digestKey } from '../key-check/keyCheck.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { createLocations } from '../stand-ins/virtualTopology.js'
import { startLocalEntry } from '../stand-ins/localEntry.js'
import type { LocalEntry } from '../stand-ins/localEntry.js'
import { sendRaw, statusLineOf } from '../stand-ins/rawRequest.js'

const KEY = 'caller-key-0123456789'
const TOKEN = 'announcement-token-of-tests'

type Handler = (request: IncomingMessage, response: ServerResponse) => void

interface Fixture { readonly entry: LocalEntry, readonly base: string, readonly addServer: (name: string, handler: Handler) => Promise<void> }

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

const start = async (t: Test): Promise<Fixture> => {
  const entry = await startLocalEntry({ snapshot, bodyBytes: 100_000 })
  // The token bucket is not refilled for the duration of a loan after a start.
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
  const response = await request(`http://127.0.0.1:${entry.announcementPort}/v1/announcements`, {
    method: 'POST',
    headers: { authorization: `Bearer ${token}` },
    body: JSON.stringify({ service: 'coupons', backend: 'b', region: 'n', zone: 'n1', slots: 4, epoch: 1, sequence: 1, state: 'up', ...body })
  })
  await response.body.dump()
  return response.statusCode
}

const sendRequest = async (fixture: Fixture, path: string, options: { method?: 'GET' | 'POST', headers?: Record<string, string>, body?: string } = {}): Promise<{ status: number, text: string, ran: unknown, reason: unknown }> => {
  const response = await request(`${fixture.base}${path}`, { method: options.method ?? 'GET', headers: { authorization: `Bearer ${KEY}`, ...options.headers }, body: options.body ?? null })
  return { status: response.statusCode, text: await response.body.text(), ran: response.headers['rhubarbseam-ran'], reason: response.headers['rhubarbseam-reason'] }
}

t.test('keys are removed from forwarded requests, and the workspace header is that of the key', async t => {
  const fixture = await start(t)
  const seen: Array<{ url: string | undefined, headers: IncomingMessage['headers'] }> = []
  await fixture.addServer('b1', (request, response) => {
    seen.push({ url: request.url, headers: request.headers })
    response.end('done')
  })
  const response = await sendRequest(fixture, `/services/coupons/item?key=${KEY}`, { headers: { 'x-api-key': KEY, cookie: `session=${KEY}`, 'rhubarbseam-workspace': 'forged', 'x-note': `it is ${KEY}` } })
  t.equal(response.status, 200)
  t.notMatch(JSON.stringify(seen), KEY)
  const headers = seen[0]?.headers ?? {}
  t.matchSnapshot({ url: seen[0]?.url, workspace: headers['rhubarbseam-workspace'], cookie: headers.cookie, note: headers['x-note'], authorization: headers.authorization ?? 'absent', apiKey: headers['x-api-key'] ?? 'absent' })
})

t.test('refusals state the reason and whether the request may have run', async t => {
  const fixture = await start(t)
  t.matchSnapshot({
    noKey: await sendRequest(fixture, '/services/coupons/item', { headers: { authorization: '' } }),
    unknownKey: await sendRequest(fixture, '/services/coupons/item', { headers: { authorization: 'Bearer wrong' } }),
    unknownService: await sendRequest(fixture, '/services/nothing/item'),
    unknownPath: await sendRequest(fixture, '/elsewhere'),
    noServer: await sendRequest(fixture, '/services/coupons/item')
  })
})

t.test('invalid and oversized requests are refused, and the server keeps working', async t => {
  const fixture = await start(t)
  await fixture.addServer('b1', (_request, response) => { response.end('done') })
  const port = fixture.entry.callerPort
  const head = 'POST /services/coupons/item HTTP/1.1\r\nhost: x\r\n'
  const results = {
    smuggled: statusLineOf(await sendRaw(port, `${head}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /admin HTTP/1.1\r\n\r\n`)),
    twoLengths: statusLineOf(await sendRaw(port, `${head}content-length: 4\r\ncontent-length: 5\r\n\r\nabcd`)),
    notHttp: statusLineOf(await sendRaw(port, 'hello there\r\n\r\n')),
    hugeHead: statusLineOf(await sendRaw(port, `GET /services/coupons/item HTTP/1.1\r\nhost: x\r\nx-long: ${'a'.repeat(20_000)}\r\n\r\n`)),
    hugeBody: statusLineOf(await sendRaw(port, `${head}content-length: 900000\r\n\r\n`)),
    noHost: statusLineOf(await sendRaw(port, 'GET /services/coupons/item HTTP/1.1\r\nconnection: close\r\n\r\n'))
  }
  t.matchSnapshot(results)
  t.equal((await sendRequest(fixture, '/services/coupons/item')).status, 200)
})

t.test('a response that is cut off is never relayed as a complete one', async t => {
  const fixture = await start(t)
  await fixture.addServer('b1', (_request, response) => {
    response.writeHead(200, { 'content-length': 1_000 })
    response.write('half')
    setTimeout(() => { response.destroy() }, 20)
  })
  // Small responses are buffered before any byte is relayed, so the caller gets an error that states an unknown outcome.
  const small = await sendRequest(fixture, '/services/coupons/item')
  t.matchSnapshot({ status: small.status, ran: small.ran, reason: small.reason })
})

t.test('a close-delimited response is relayed without added framing, as it may be incomplete', async t => {
  const fixture = await start(t)
  await fixture.addServer('unframed', (_request, response) => {
    response.useChunkedEncodingByDefault = false
    response.writeHead(200, { connection: 'close' })
    response.end('perhaps whole')
  })
  const text = await sendRaw(fixture.entry.callerPort, `GET /services/coupons/x HTTP/1.1\r\nhost: h\r\nauthorization: Bearer ${KEY}\r\n\r\n`)
  const [head = '', body] = text.split('\r\n\r\n')
  t.matchSnapshot({ status: head.split('\r\n', 1)[0], length: /content-length|chunked/i.test(head), closes: /connection: close/i.test(head), body })
})

t.test('a large response that is cut off closes the connection to the caller', async t => {
  const fixture = await start(t)
  await fixture.addServer('b1', (_request, response) => {
    response.writeHead(200, { 'content-length': 1_000_000 })
    response.write('x'.repeat(400_000))
    setTimeout(() => { response.destroy() }, 50)
  })
  await t.rejects(sendRequest(fixture, '/services/coupons/item'))
})

t.test('a response that arrives after its timeout is not relayed to a later request', async t => {
  const fixture = await start(t)
  let count = 0
  await fixture.addServer('b1', (request, response) => {
    count += 1
    const delayMs = count === 1 ? 600 : 0
    setTimeout(() => { response.end(`answer to ${request.url ?? ''}`) }, delayMs)
  })
  const late = await sendRequest(fixture, '/services/coupons/first', { method: 'POST', headers: { 'rhubarbseam-timeout-ms': '200' }, body: 'x' })
  t.same([late.status, late.ran], [502, 'unknown'])
  const responses = await Promise.all(['a', 'b', 'c'].map(async name => (await sendRequest(fixture, `/services/coupons/${name}`)).text))
  t.same(responses, ['answer to /a', 'answer to /b', 'answer to /c'])
})

t.test('an idempotent request on a connection that went silent is retried at another server', async t => {
  const fixture = await start(t)
  const isSilent = { now: false }
  await fixture.addServer('silent', (_request, response) => { if (!isSilent.now) response.end('from the first') })
  t.equal((await sendRequest(fixture, '/services/coupons/item')).text, 'from the first')
  isSilent.now = true
  await fixture.addServer('other', (_request, response) => { response.end('from the other') })
  const responses = await Promise.all([1, 2, 3, 4].map(async () => (await sendRequest(fixture, '/services/coupons/item')).text))
  t.same(new Set(responses), new Set(['from the other']))
})

t.test('a request that a server sheds, or that cannot reach its server, is retried at another server', async t => {
  const fixture = await start(t)
  await fixture.addServer('full', (_request, response) => { response.writeHead(503, { 'retry-after': '1' }).end() })
  await fixture.addServer('good', (_request, response) => { response.end('done') })
  t.equal(await announce(fixture.entry, { backend: 'dead', port: 9 }), 200)
  for (let n = 0; n < 8; n += 1) t.equal((await sendRequest(fixture, '/services/coupons/item', { method: 'POST', body: 'x' })).status, 200)
})

t.test('a large request body is streamed completely', async t => {
  const fixture = await start(t)
  await fixture.addServer('b1', (request, response) => {
    let bytes = 0
    request.on('data', chunk => { bytes += (chunk as Buffer).length })
    request.on('end', () => { response.end(String(bytes)) })
  })
  t.equal((await sendRequest(fixture, '/services/coupons/item', { method: 'POST', body: 'b'.repeat(90_000) })).text, '90000')
})

t.test('only authenticated and valid announcements are accepted', async t => {
  const fixture = await start(t)
  t.same([
    await announce(fixture.entry, { port: 80 }, 'wrong-token'),
    await announce(fixture.entry, { port: 'eighty' }),
    await announce(fixture.entry, { port: 80, slots: 0 }),
    await announce(fixture.entry, { port: 80 })
  ], [401, 400, 400, 200])
  t.equal(fixture.entry.tables.backends.size, 1)
})

t.test('a service of the configuration has metrics of its own, others share one label', async t => {
  const fixture = await start(t)
  for (const service of ['coupons', 'nothing', 'nobody']) await sendRequest(fixture, `/services/${service}/x`)
  const { values } = await fixture.entry.metrics.requests.get()
  t.same(new Set(values.map(({ labels }) => labels.service)), new Set(['coupons', 'unknown']))
})

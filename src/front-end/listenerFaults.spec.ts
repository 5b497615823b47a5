import t from 'tap'
import type { Test } from 'tap'
import { WebSocket } from 'ws'
import { toId } from '../core/id.js'
import type { HostId, OperatorId } from '../core/id.js'
import type { EntryInput, EntryOutput } from '../entry/types.js'
import { createLog } from '../observability/log.js'
import { Metrics, createMetricsListener } from '../observability/metrics.js'
import { getStatus, sendRaw, statusLineOf } from '../stand-ins/rawRequest.js'
import { waitUntil } from '../stand-ins/waiting.js'
import { AnnouncementServer } from './announcementServer.js'
import { CallerServer } from './callerServer.js'
import type { CallerServerOptions } from './callerServer.js'
import { LinkHub } from './linkHub.js'
import { LookupServer } from './lookupServer.js'
import type { LookupProtocol } from './lookupServer.js'
import { OperatorServer } from './operatorServer.js'
import { ServiceProtocol } from './serviceProtocol.js'

const LISTEN = { address: '127.0.0.1', port: 0 }
const FAILED = 'HTTP/1.1 500 Internal Server Error'
const log = createLog('test', 'fatal')

const throwError = (): never => { throw new Error('handler failed') }

class RecordedFaults {
  readonly listeners: string[] = []
  record (listener: string): void { this.listeners.push(listener) }
}

const post = (path: string, body: string, headers = ''): string =>
  `POST ${path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`

interface Callers { readonly port: number, readonly faults: RecordedFaults, readonly pushed: EntryInput[] }

const startCallers = async (t: Test, protocol: Partial<ServiceProtocol>, answer: (row: EntryInput) => EntryOutput | null): Promise<Callers> => {
  const faults = new RecordedFaults()
  const pushed: EntryInput[] = []
  const options: CallerServerOptions = {
    host: 'h',
    listen: LISTEN,
    limits: { bodyBytes: 1_000, bufferedBodyBytes: 1_000, headerBytes: 8_192, connections: 10 },
    protocol: Object.assign(new ServiceProtocol(), protocol),
    metrics: new Metrics(false),
    faults,
    tracing: null,
    isConfigured: () => true,
    isLeaving: () => false,
    push: row => {
      pushed.push(row)
      const output = answer(row)
      if (output !== null) setImmediate(() => { server.deliver(output) })
    }
  }
  const server = new CallerServer(options)
  const port = await server.listen()
  t.teardown(async () => { await server.close(0) })
  return { port, faults, pushed }
}

const refuse = (row: EntryInput): EntryOutput | null => row.kind === 'request'
  ? { kind: 'refuse', exchange: row.exchange, status: 503, reason: 'overloaded', ran: 'not-run', retryAfterMs: 1_000, alternatives: [] } as unknown as EntryOutput
  : null

t.test('an error while a request of a caller is parsed costs that request only', async t => {
  const { port, faults } = await startCallers(t, { parseRequest: throwError }, refuse)
  for (let n = 0; n < 2; n += 1) t.equal(await getStatus(port, '/services/a/x'), FAILED)
  t.same(faults.listeners, ['callers', 'callers'])
})

t.test('an error while a refusal is sent gives status 500 without its promise, and the tick learns that the caller is gone', async t => {
  const protocol: Partial<ServiceProtocol> = {
    refuse: (_request, response) => {
      response.setHeader('rhubarbseam-ran', 'not-run')
      throwError()
    }
  }
  const { port, faults, pushed } = await startCallers(t, protocol, refuse)
  const response = await sendRaw(port, post('/services/a/x', 'body'))
  t.equal(statusLineOf(response), FAILED)
  t.notMatch(response, /not-run/)
  t.same(faults.listeners, ['callers'])
  t.same(pushed.map(row => row.kind), ['request', 'caller-left'])
})

t.test('an error while the response of a backend server is read or relayed costs that request only', async t => {
  const backend = await startCallers(t, {}, refuse)
  const startAttempt = (row: EntryInput): EntryOutput | null => {
    if (row.kind === 'request') return { kind: 'start-attempt', exchange: row.exchange, attempt: 'a-1', backend: 'b', backendName: 'b', epoch: 1, target: { address: '127.0.0.1', port: backend.port }, timeoutMs: 5_000, idempotent: true, keepsAnswer: false, workspace: null, admissionMs: 0, queueMs: 0 } as unknown as EntryOutput
    return row.kind === 'attempt' && row.result.kind === 'head' ? { kind: 'relay-answer', exchange: row.exchange, attempt: row.attempt } as EntryOutput : null
  }
  for (const step of ['attemptHeaders', 'classifyResponse', 'readNotice', 'responseHeaders'] as const) {
    const { port, faults, pushed } = await startCallers(t, { [step]: throwError }, startAttempt)
    t.equal(await getStatus(port, '/services/a/x'), FAILED, step)
    t.same(faults.listeners, ['callers'], step)
    t.equal(pushed.at(-1)?.kind, 'caller-left', step)
  }
})

t.test('an error in a look-up costs that look-up only', async t => {
  const faults = new RecordedFaults()
  const parseRequest: LookupProtocol['parseRequest'] = ({ pathname }) => pathname === '/lookup' ? { kind: 'lookup', place: {} as never } : throwError()
  const server = new LookupServer({
    protocol: { parseRequest, createBody: throwError },
    metrics: new Metrics(false),
    faults,
    findUnreadyReason: () => null,
    isServing: () => true,
    push: ({ lookup }) => { setImmediate(() => { server.deliver({ kind: 'lookup-answer', lookup, error: null, hosts: [], ttlMs: 1, ticketZone: 'z' } as never) }) }
  })
  const port = await server.listen(LISTEN)
  t.teardown(() => { server.close() })
  t.same([await getStatus(port, '/lookup'), await getStatus(port, '/ready'), await getStatus(port, '/lookup')], [FAILED, FAILED, FAILED])
  t.same(faults.listeners, ['lookups', 'lookups', 'lookups'])
})

t.test('an error in an announcement costs that announcement only', async t => {
  const faults = new RecordedFaults()
  const server = new AnnouncementServer({ listen: LISTEN, tokens: () => ['token'], metrics: new Metrics(false), faults, push: throwError, peers: () => [] })
  const port = await server.listen()
  t.teardown(() => { server.close() })
  const announcement = JSON.stringify({ service: 's', backend: 'b', region: 'n', zone: 'n1', slots: 4, epoch: 1, sequence: 1, state: 'up', port: 80 })
  for (let n = 0; n < 2; n += 1) t.equal(statusLineOf(await sendRaw(port, post('/v1/announcements', announcement, 'authorization: Bearer token\r\n'))), FAILED)
  t.same(faults.listeners, ['announcements', 'announcements'])
})

t.test('an error in a call of an operator costs that call only', async t => {
  const faults = new RecordedFaults()
  const operator = { name: toId<OperatorId>('o'), roles: ['assign'] as const, tokenDigest: '3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0' }
  const server = new OperatorServer({ listen: LISTEN, operators: () => [operator], tables: {} as never, faults, now: () => 0, push: throwError })
  const port = await server.listen()
  t.teardown(() => { server.close() })
  const call = async (text: string): Promise<string> => statusLineOf(await sendRaw(port, text))
  t.equal(await call('GET /v1/status HTTP/1.1\r\nhost: h\r\nconnection: close\r\nauthorization: Bearer token\r\n\r\n'), FAILED)
  t.equal(await call(post('/v1/replicas', JSON.stringify({ host: 'c' }), 'authorization: Bearer token\r\n')), FAILED)
  t.same(faults.listeners, ['operators', 'operators'])
})

t.test('an error in a scrape of the metrics costs that scrape only', async t => {
  const faults = new RecordedFaults()
  const listener = createMetricsListener({ metrics: new Metrics(false), faults, refresh: throwError, explain: throwError })
  const port = await listener.listen(LISTEN)
  t.teardown(() => { listener.close() })
  t.same([await getStatus(port, '/metrics'), await getStatus(port, '/explain')], [FAILED, FAILED])
  t.same(faults.listeners, ['metrics', 'metrics'])
})

const startLink = async (t: Test, name: string, failing: 'onMessage' | 'onMalformed' | null): Promise<{ readonly hub: LinkHub, readonly port: number, readonly faults: RecordedFaults }> => {
  const faults = new RecordedFaults()
  const events = { onMessage: () => {}, onMalformed: () => {}, onTraffic: () => {}, ...failing === null ? {} : { [failing]: throwError } }
  const hub = new LinkHub({ self: toId<HostId>(name), listen: LISTEN, fleetKeys: () => [Buffer.from('fleet-key-of-tests-01')], log, faults, events })
  const port = await hub.listen()
  t.teardown(() => { hub.close() })
  return { hub, port, faults }
}

t.test('an error in the handling of a message or handshake costs that link only', async t => {
  const a = await startLink(t, 'a', null)
  const b = await startLink(t, 'b', 'onMessage')
  for (let n = 1; n <= 2; n += 1) {
    await waitUntil('the message has failed', () => {
      a.hub.send(toId<HostId>('b'), { address: '127.0.0.1', port: b.port }, { kind: 'fetch', after: n })
      return b.faults.listeners.length >= n
    })
  }
  const c = await startLink(t, 'c', 'onMalformed')
  const intruder = new WebSocket(`ws://127.0.0.1:${c.port}`)
  intruder.on('error', () => {})
  intruder.on('open', () => { intruder.send('no hello') })
  await new Promise(resolve => intruder.once('close', resolve))
  t.same(c.faults.listeners, ['link'])
})

t.test('an address that another host tells and that is none costs the message to it only', async t => {
  const a = await startLink(t, 'a', null)
  for (const address of ['a b', '[', '::1', 'x/y?z#']) a.hub.send(toId<HostId>('b'), { address, port: 1 }, { kind: 'fetch', after: 1 })
  await new Promise(resolve => setTimeout(resolve, 50))
  t.ok(a.faults.listeners.length > 0)
  t.equal(await getStatus(a.port, '/'), 'HTTP/1.1 426 Upgrade Required')
})

/**
 * A backend server answers an upload before it has read the whole body, and reads on. The caller gets the answer, sends the rest of
 * its body, and sends the next request on the same connection. That request has to get a final answer.
 */

import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { BROKEN, CaseRecord, HELD, NOT_RUN, RawCaller, configure, createFleet, hasTrouble, pause, runCase, startMachine, statusOf } from './lab.js'

/** Callers that come one after the other; each uploads, and then pays on the same connection. */
const CALLERS = 480
const CALLER_INTERVAL_MS = 120
const MAX_UPLOADS = 3
const RETRY_DELAY_MS = 500
const UPLOAD_BYTES = 300_000
const UPLOAD_PARTS = 6
const PART_INTERVAL_MS = 20
const SERVERS = 5
/** Servers that answer at most one in so many uploads early, for 5 s at a time: within the largest doses of the users' site files. */
const EARLY_SERVERS = 3
const UPLOADS_PER_EARLY_ANSWER = 20
const EARLY_PERIOD_MS = 6_000
const EARLY_FOR_MS = 5_000
/** The users' bound: a request has its final answer this long after its route's timeout. */
const LATE_ANSWER_MS = 500
const PAY_TIMEOUT_MS = 1_500
const UPLOAD_TIMEOUT_MS = 4_000
const CALLER_TIME_MS = 6_000
const MIN_LATE_REQUESTS = 8
const MAX_LATE_SHARE = 0.25
/** Longer than `contactMs`, so that all machines are in touch. */
const CALM_MS = 5_000
/** Longest time for which the first connection without an answer is watched. */
const WATCH_MS = 40_000
const REPORT_INTERVAL_MS = 300
const SERVER_PORT = 9_000

const route = (name: string, prefix: string, type: string, timeoutMs: number): unknown => ({
  resourceType: 'routes',
  metadata: { name },
  spec: { host: 'shop.example', pathPrefix: prefix, type, timeoutMs, targetLatencyMs: 500, priority: 1, service: 'receipts', attempts: 1, anonymous: true, cacheAffinity: false, allowedRegions: [] }
})

const configuration = {
  version: 'r1',
  resources: [
    route('upload', '/upload/', 'idempotent', UPLOAD_TIMEOUT_MS),
    route('pay', '/pay/', 'non_idempotent', PAY_TIMEOUT_MS),
    { resourceType: 'services', metadata: { name: 'receipts' }, spec: { healthCheck: '/health', maxConnections: 200, protocol: 'h1', tls: false, warmupS: 0, warmupPerS: 0 } },
    { resourceType: 'limits', metadata: {}, spec: { maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 } }
  ]
}

interface Outcome { readonly status: number | null, readonly hasLasted: boolean, readonly isLate: boolean }

const record = new CaseRecord(process.argv[2] ?? 'record.txt')
const fleet = await createFleet()
const runs = new Map<string, number>()
/** Uploads that were answered before they were read. */
const early = new Set<string>()
let watched: Promise<void> | null = null

const attemptIdOf = (request: IncomingMessage): string => String(request.headers['x-attempt-id'] ?? '')

const answer = (request: IncomingMessage, response: ServerResponse): void => {
  const body = `answer to ${attemptIdOf(request)}`
  response.writeHead(200, { 'x-attempt-id': attemptIdOf(request), 'x-response-seal': 'seal', 'x-server-load': '1,0,60', 'content-length': body.length })
  response.end(body)
}

/** A backend server. With the disruption it answers some uploads when it has read their heads, and reads the rest of the body afterwards. */
const startServer = async (number: number): Promise<void> => {
  const address = `${fleet.block}.2.${number}`
  let uploadsSinceEarly = 0
  const answersEarly = (request: IncomingMessage): boolean => {
    if (request.url?.startsWith('/upload/') !== true) return false
    uploadsSinceEarly += 1
    const isDue = uploadsSinceEarly >= UPLOADS_PER_EARLY_ANSWER && performance.now() % EARLY_PERIOD_MS < EARLY_FOR_MS
    if (!hasTrouble || number > EARLY_SERVERS || !isDue) return false
    uploadsSinceEarly = 0
    return true
  }
  const server = createServer((request, response) => {
    runs.set(attemptIdOf(request), (runs.get(attemptIdOf(request)) ?? 0) + 1)
    request.on('error', () => {})
    if (answersEarly(request)) {
      early.add(attemptIdOf(request))
      answer(request, response)
    } else {
      request.once('end', () => { answer(request, response) })
    }
    request.resume()
  })
  await new Promise<void>(resolve => { server.listen(SERVER_PORT, address, resolve) })
  const born = Date.now()
  let sequence = 0
  setInterval(() => {
    sequence += 1
    void fleet.callControl('instances.heartbeat', `i-${number}`, { service: 'receipts', address: `${address}:${SERVER_PORT}`, zone: 'n1', version: 'v1', slots: 60, state: 'ready', warmupLeftMs: 0, sequence, born })
  }, REPORT_INTERVAL_MS)
}

const headOf = (path: string, id: string, length: number): string =>
  `POST ${path} HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: ${id}\r\nx-deadline-ms: ${CALLER_TIME_MS}\r\ncontent-length: ${length}\r\n\r\n`

const upload = async (caller: RawCaller, id: string): Promise<number | null> => {
  caller.write(headOf('/upload/receipts', id, UPLOAD_BYTES))
  for (let part = 0; part < UPLOAD_PARTS; part += 1) {
    caller.write(Buffer.alloc(UPLOAD_BYTES / UPLOAD_PARTS, 'r'))
    await pause(PART_INTERVAL_MS)
  }
  await caller.waitFor(() => caller.hasAnswer, UPLOAD_TIMEOUT_MS)
  return statusOf(caller.takeReceived())
}

/** Watches one connection without an answer until it closes. */
const watch = async (caller: RawCaller): Promise<void> => {
  const since = performance.now()
  await caller.waitFor(() => caller.hasAnswer, WATCH_MS)
  record.note(`the connection of a payment without an answer, ${Math.round(performance.now() - since)} ms later: ${caller.hasAnswer ? 'answered' : caller.hasEnded ? `closed without an answer (${caller.error ?? 'end'})` : 'open, no answer'}`)
}

/** Sends a payment on the connection, and waits for its answer until half a second after its route's timeout. */
const pay = async (caller: RawCaller, id: string): Promise<Outcome> => {
  const sentAt = performance.now()
  caller.write(`${headOf('/pay/bill', id, 3)}pay`)
  await caller.waitFor(() => caller.hasAnswer, PAY_TIMEOUT_MS + LATE_ANSWER_MS)
  const tookMs = performance.now() - sentAt
  const isAnswered = caller.hasAnswer
  const status = statusOf(caller.received)
  const outcome = { status, hasLasted: tookMs >= PAY_TIMEOUT_MS, isLate: !isAnswered && !caller.hasEnded }
  if (!isAnswered || status !== 200) record.note(`${id}: ${isAnswered ? `status ${status}` : caller.hasEnded ? 'connection closed without an answer' : 'no answer'} after ${Math.round(tookMs)} ms; run ${runs.get(id) ?? 0} times`)
  if (outcome.isLate && watched === null) watched = watch(caller)
  else caller.close()
  return outcome
}

/** Uploads, again on a new connection after a refusal, and then pays on the connection of the upload. */
const call = async (entry: string, number: number): Promise<Outcome | null> => {
  await pause(number * CALLER_INTERVAL_MS)
  for (let attempt = 1; attempt <= MAX_UPLOADS; attempt += 1) {
    const caller = new RawCaller(entry)
    const id = `upload-${number}.${attempt}`
    const status = await upload(caller, id)
    const connection = caller.hasEnded ? 'connection closed' : `connection kept, ${caller.socket.writableLength} bytes unsent`
    if (early.has(id) || status !== 200) record.note(`${id}: status ${status}${early.has(id) ? ', answered early' : ''}; ${connection}; run ${runs.get(id) ?? 0} times`)
    if (status === 200 && !caller.hasEnded) return await pay(caller, `pay-${number}`)
    caller.close()
    await pause(RETRY_DELAY_MS)
  }
  return null
}

await runCase(record, fleet, async () => {
  for (const [index, zone] of ['n1', 'n2', 's1'].entries()) startMachine(fleet, 'core', index + 1, zone)
  const entry = startMachine(fleet, 'front', 1, 'n1')
  for (let number = 1; number <= SERVERS; number += 1) await startServer(number)
  if (!await configure(fleet, [entry], configuration)) return NOT_RUN
  await pause(CALM_MS)
  record.note(`the disruption is ${hasTrouble ? 'on' : 'off'}`)
  const outcomes = await Promise.all(Array.from({ length: CALLERS }, async (_, number) => await call(entry.ip, number)))
  const paid = outcomes.filter(outcome => outcome !== null)
  const answered = paid.filter(({ status }) => status === 200).length
  const lasted = paid.filter(({ hasLasted }) => hasLasted).length
  const late = paid.filter(({ isLate }) => isLate).length
  record.note(`${CALLERS} callers; ${early.size} uploads answered early; ${paid.length} payments on kept connections, ${answered} of them answered 200; ${lasted} lasted longer than their route's timeout; ${late} of these had no final answer ${LATE_ANSWER_MS} ms after it`)
  await watched
  if (paid.length === 0 || (hasTrouble && early.size === 0)) return NOT_RUN
  return late >= MIN_LATE_REQUESTS && late > lasted * MAX_LATE_SHARE ? BROKEN : HELD
})

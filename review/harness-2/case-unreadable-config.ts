/**
 * An operator sends a configuration from which one byte in the middle of a character is missing, so that it is no JSON text any
 * more. It has to be refused, and must not come into force or be read back in another form than it was sent in.
 */

import { request } from 'undici'
import { CONTROL_PORT } from '../../platform/stand-ins/providerFleet.js'
import type { Machine, ProviderResponse } from '../../platform/stand-ins/providerFleet.js'
import { BROKEN, CaseRecord, HELD, NOT_RUN, configure, createFleet, hasTrouble, pause, runCase, startMachine } from './lab.js'

const CALM_MS = 5_000
/** Time within which an acknowledged configuration applies. */
const CONFIG_APPLY_MS = 2_500
const CALL_TIMEOUT_MS = 1_000
const RETRY_DELAY_MS = 200
const MAX_CALLS = 30
const MAX_REDIRECTS = 2
const CALLS_OF_TENANT = 10
const TENANT = 'Café Riga'
const KEY = 'key-of-cafe-1'
/** First of the two bytes of é. */
const FIRST_BYTE = 0xc3

const documentOf = (version: string): Buffer => Buffer.from(JSON.stringify({
  version,
  resources: [
    { resourceType: 'routes', metadata: { name: 'read' }, spec: { host: 'shop.example', pathPrefix: '/read/', type: 'idempotent', timeoutMs: 1_500, targetLatencyMs: 300, priority: 1, service: 'calendar', attempts: 2, anonymous: false, cacheAffinity: false, allowedRegions: [] } },
    { resourceType: 'services', metadata: { name: 'calendar' }, spec: { healthCheck: '/health', maxConnections: 100, protocol: 'h1', tls: false, warmupS: 0, warmupPerS: 0 } },
    { resourceType: 'tenants', metadata: { name: TENANT }, spec: { apiKeys: [KEY], priority: 1, ratePerS: 1_000, burst: 1_000, allowedRegions: [] } },
    { resourceType: 'limits', metadata: {}, spec: { maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 } }
  ]
}))

/** Removes the second byte of the first é. */
const withoutByte = (document: Buffer): Buffer => {
  const at = document.indexOf(FIRST_BYTE) + 1
  return Buffer.concat([document.subarray(0, at), document.subarray(at + 1)])
}

interface Answer { readonly status: number, readonly body: Buffer }

const record = new CaseRecord(process.argv[2] ?? 'record.txt')
const fleet = await createFleet()

const callOnce = async (machine: Machine, call: string, body?: Buffer): Promise<Answer | null> => {
  let url = `http://${machine.ip}:${CONTROL_PORT}/api/rpc?call=${call}`
  for (let redirects = 0; redirects <= MAX_REDIRECTS; redirects += 1) {
    try {
      const response = await request(url, { method: 'POST', body, headersTimeout: CALL_TIMEOUT_MS, headers: { 'content-type': 'application/json' } })
      const answer = { status: response.statusCode, body: Buffer.from(await response.body.arrayBuffer()) }
      if (answer.status !== 307) return answer
      url = String(response.headers.location)
    } catch {
      return null
    }
  }
  return null
}

/** Calls one control machine after the other, as an operator does, until one gives a clear response. */
const call = async (machines: readonly Machine[], name: string, body?: Buffer): Promise<Answer | null> => {
  for (let count = 0; count < MAX_CALLS; count += 1) {
    const machine = machines[count % machines.length]
    const answer = machine === undefined ? null : await callOnce(machine, name, body)
    if (answer !== null && answer.status < 500) return answer
    await pause(RETRY_DELAY_MS)
  }
  return null
}

const describeStatuses = (responses: readonly ProviderResponse[]): string => responses.map(({ status }) => status).join(' ')

await runCase(record, fleet, async () => {
  const cores: Machine[] = []
  for (const [index, zone] of ['n1', 'n2', 's1'].entries()) cores.push(startMachine(fleet, 'core', index + 1, zone))
  const entry = startMachine(fleet, 'front', 1, 'n1')
  const server = await fleet.addBackend('calendar', 'n1')
  if (!await configure(fleet, [entry], documentOf('r1').toString())) return NOT_RUN
  await pause(CALM_MS)
  const sendCalls = async (): Promise<ProviderResponse[]> => {
    const responses: ProviderResponse[] = []
    for (let count = 0; count < CALLS_OF_TENANT; count += 1) responses.push(await fleet.sendRequest(entry, { path: `/read/${count}`, headers: { 'x-api-key': KEY } }))
    return responses
  }
  record.note(`requests of the tenant under r1: ${describeStatuses(await sendCalls())}`)

  const sent = hasTrouble ? withoutByte(documentOf('r2')) : documentOf('r2')
  record.note(`r2 is sent ${hasTrouble ? 'with one byte missing' : 'whole'}: ${sent.length} bytes, ${new TextDecoder('utf8').decode(sent).includes('\ufffd') ? 'not valid UTF-8' : 'valid UTF-8'}`)
  const put = await call(cores, 'config.put', sent)
  if (put === null) return NOT_RUN
  record.note(`r2 is answered ${put.status}`)
  await pause(CONFIG_APPLY_MS)
  const read = await call(cores, 'config.get')
  if (read === null) return NOT_RUN
  const version = (JSON.parse(read.body.toString()) as { version: string }).version
  const isSame = version === 'r2' ? read.body.equals(sent) : read.body.equals(documentOf('r1'))
  record.note(`read back: ${read.status}, ${version}, ${read.body.length} bytes, ${isSame ? 'as it was sent' : 'not as it was sent'}`)
  record.note(`requests of the tenant now: ${describeStatuses(await sendCalls())}; the backend server ran ${server.received.length} in all`)
  const isInvalidAcknowledged = hasTrouble && put.status === 200
  return isInvalidAcknowledged || !isSame ? BROKEN : HELD
})

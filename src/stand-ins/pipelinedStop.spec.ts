import { connect } from 'node:net'
import type { Socket } from 'node:net'
import t from 'tap'
import { request } from 'undici'
import type { BackendStatistics } from './backendServer.js'
import { Fleet } from './fleet.js'
import { WAIT_TIMEOUT_MS, waitUntil } from './waiting.js'

const CONNECTIONS = 6
const SEND_INTERVAL_MS = 4
const STOPS = 3
const MIN_SERVED = 60
const terms = { shiftCap: 0.5, shiftWindowMs: 60_000, allowedRegions: [], drainMs: 10_000, whenCutOff: 'serve', staleAfterMs: 10_000 }

/** A caller that sends requests on one connection without waiting for the answers. */
class PipeliningCaller {
  readonly #socket: Socket
  readonly #timer: NodeJS.Timeout
  #received = ''
  #sentCount = 0
  isClosed = false

  constructor (address: string, readonly name: string, readonly key: string) {
    const [host = '', port = ''] = address.split(':')
    this.#socket = connect(Number(port), host)
    this.#socket.on('data', bytes => { this.#received += bytes.toString() })
    this.#socket.on('error', () => {})
    this.#socket.on('close', () => {
      this.isClosed = true
      clearInterval(this.#timer)
    })
    this.#timer = setInterval(() => { this.#send() }, SEND_INTERVAL_MS)
  }

  /** Paths of the requests whose whole answer has arrived. */
  served (): string[] {
    return [...this.#received.matchAll(/"path":"(\/item\/[^"]+)"[^}]*\}/g)].map(match => match[1] ?? '')
  }

  #send (): void {
    this.#sentCount += 1
    const path = `/item/${this.name}/${this.#sentCount}`
    // The servers count runs by this header, and an idempotent request may run again where its first answer is late.
    this.#socket.write(`GET /services/lookup${path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${this.key}\r\nidempotency-key: ${path}\r\n\r\n`)
  }
}

t.test('a planned stop answers each request of a pipelined connection that it has taken', async t => {
  const fleet = new Fleet({ zones: [{ region: 'north', zone: 'north-a' }], entryHostsPerZone: 1, controlZones: ['north-a'], recordsTicks: false, services: [{ service: 'lookup', serversPerZone: 2, slots: 64, workMs: 30 }] })
  t.teardown(async () => { await fleet.stop() })
  await fleet.start()
  await fleet.configure('careful', terms, 8_000)
  const key = await fleet.addWorkspace('w', 100_000, 100_000)
  await fleet.waitUntilReady(WAIT_TIMEOUT_MS)
  const findRun = async (prefix: string): Promise<string[]> => {
    const statistics = await Promise.all(fleet.backendServers.map(async ({ addresses }) => await (await request(`http://${addresses.backend ?? ''}/stand-in/statistics`)).body.json() as BackendStatistics))
    return [...new Set(statistics.flatMap(row => Object.keys(row.runsByKey)))].filter(path => path.startsWith(prefix)).sort()
  }
  for (let stop = 0; stop < STOPS; stop += 1) {
    const host = fleet.entryHosts[0]
    const address = host?.addresses.callers ?? ''
    await waitUntil('requests are served', async () => {
      const answer = await request(`http://${address}/services/lookup/item/first/1`, { headers: { authorization: `Bearer ${key}` } }).catch(() => null)
      await answer?.body.dump()
      return answer?.statusCode === 200
    })
    const callers = Array.from({ length: CONNECTIONS }, (_, number) => new PipeliningCaller(address, `c${stop}-${number}`, key))
    const countServed = (): number => callers.reduce((sum, caller) => sum + caller.served().length, 0)
    await waitUntil('callers are served', () => countServed() >= MIN_SERVED)
    const servedBefore = countServed()
    host?.child.kill('SIGTERM')
    await waitUntil('the host has stopped', () => host?.child.exitCode !== null && callers.every(caller => caller.isClosed))
    t.equal(host?.child.exitCode, 0, `stop ${stop}`)
    const served = callers.flatMap(caller => caller.served())
    t.ok(served.length > servedBefore, `stop ${stop}: ${served.length - servedBefore} answered during it`)
    t.equal(new Set(served).size, served.length, `stop ${stop}: none answered twice`)
    t.same(await findRun(`/item/c${stop}-`), served.sort(), `stop ${stop}: each request that ran is answered whole`)
    fleet.restartEntry(host?.name ?? '')
  }
})

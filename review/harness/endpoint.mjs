/** A sound endpoint as the pages describe it: reports, runs requests in slots, drains and leaves. */

import { createServer } from 'node:http'
import { call, sleep } from './fleet.mjs'

const HEARTBEAT_MS = 1_500
const REPORT_TIMEOUT_MS = 1_000
const RETRY_MS = 100

export class Endpoint {
  /** What reached the endpoint, in order. */
  arrivals = []
  isLeaving = false
  #sequence = 0
  #running = 0
  #waiting = []
  #born = Date.now()
  #reportsTo = null
  #timer = null

  /** `answer` writes the answer of a request that has run; by default 200 with a short body. */
  constructor (fleet, { service, zone, id, slots = 4, queue = 12, workMs = 50, answer = null }) {
    Object.assign(this, { fleet, service, zone, id, slots, queue, workMs, answer })
    this.server = createServer((request, response) => { this.#receive(request, response) })
    this.server.keepAliveTimeout = 10_000
    fleet.endpoints.push(this)
  }

  async start () {
    const ip = `${this.fleet.block}.2.${this.fleet.endpoints.indexOf(this) + 1}`
    await new Promise(resolve => { this.server.listen(0, ip, resolve) })
    this.address = `${ip}:${this.server.address().port}`
    void this.beat()
    this.#timer = setInterval(() => { void this.beat() }, HEARTBEAT_MS)
  }

  stop () {
    clearInterval(this.#timer)
    this.server.close()
    this.server.closeAllConnections()
  }

  async #send (callName, body, ip) {
    const path = `/api/rpc?call=${callName}&of=${this.id}`
    let answer = await call({ ip, port: this.fleet.ports.control, method: 'POST', path, headers: { 'content-type': 'application/json' }, body: JSON.stringify(body), timeoutMs: REPORT_TIMEOUT_MS })
    for (let redirects = 0; answer.status === 307 && redirects < 2; redirects += 1) {
      const url = new URL(answer.headers.location)
      answer = await call({ ip: url.hostname, port: Number(url.port), method: 'POST', path: `${url.pathname}${url.search}`, headers: { 'content-type': 'application/json' }, body: JSON.stringify(body), timeoutMs: REPORT_TIMEOUT_MS })
    }
    return answer
  }

  // The node that was named last, then the one of the own zone, then the others.
  #nodes () {
    const ips = this.fleet.cores.map(core => core.ip)
    const inZone = this.fleet.cores.filter(core => core.zone === this.zone).map(core => core.ip)
    return [...new Set([...this.#reportsTo === null ? [] : [this.#reportsTo], ...inZone, ...ips])]
  }

  /** Sends one status report; the next node is called after a failure. */
  async beat (state = 'ready') {
    this.#sequence += 1
    const body = { service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state, warmupLeftMs: 0, sequence: this.#sequence, born: this.#born }
    for (const ip of this.#nodes()) {
      const answer = await this.#send('instances.heartbeat', body, ip)
      if (answer.status < 200 || answer.status >= 300) {
        this.#reportsTo = null
        continue
      }
      const next = JSON.parse(String(answer.body)).heartbeatUrl
      this.#reportsTo = next === undefined ? ip : next.replace(/^http:\/\//, '').split(':')[0]
      return ip
    }
    return null
  }

  /** Leaves without reporting `draining` first: deregisters at one node after the other until it is confirmed. Serves on. */
  async deregister () {
    clearInterval(this.#timer)
    this.isLeaving = true
    const nodes = this.#nodes()
    for (let turn = 0; turn < 200; turn += 1) {
      const ip = nodes[turn % nodes.length]
      const answer = await this.#send('instances.deregister', { born: this.#born }, ip)
      this.fleet.record(`endpoint ${this.id} deregisters at ${ip}: status ${answer.status} error ${answer.error}`)
      if (answer.status >= 200 && answer.status < 300) return ip
      await sleep(RETRY_MS)
    }
    return null
  }

  #receive (request, response) {
    const id = request.headers['x-attempt-id']
    if (id !== undefined) response.setHeader('x-attempt-id', id)
    if (this.isLeaving) response.setHeader('server-leaving', '1')
    if (request.url === '/health') {
      response.writeHead(this.isLeaving ? 503 : 200, { 'x-instance-id': this.id }).end()
      return
    }
    const expected = request.headers['x-expect-instance']
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'x-not-executed': '1' }).end()
      return
    }
    this.arrivals.push({ at: performance.now(), id, path: request.url, method: request.method, headers: request.headers })
    this.fleet.record(`endpoint ${this.id} gets ${id} ${request.method} ${request.url}`)
    if (id === undefined || this.#running >= this.slots) {
      if (id === undefined || this.#waiting.length >= this.queue) {
        response.writeHead(id === undefined ? 400 : 503, { 'x-not-executed': '1', ...this.#load() }).end()
        return
      }
      this.#waiting.push({ request, response })
      return
    }
    void this.#run(request, response)
  }

  #load () { return { 'x-server-load': `${this.#running},${this.#waiting.length},${this.slots}` } }

  async #run (request, response) {
    this.#running += 1
    const id = request.headers['x-attempt-id']
    this.fleet.record(`endpoint ${this.id} runs ${id}`)
    const chunks = []
    try {
      for await (const chunk of request) chunks.push(chunk)
      await sleep(this.workMs)
    } catch {}
    this.#running -= 1
    const body = Buffer.concat(chunks)
    this.fleet.record(`endpoint ${this.id} has run ${id}, body of ${body.length} bytes${response.destroyed ? ', connection closed' : ''}`)
    if (!response.destroyed) {
      response.setHeader('x-response-seal', 'seal')
      for (const [name, value] of Object.entries(this.#load())) response.setHeader(name, value)
      if (this.answer === null) response.writeHead(200).end(`${this.id} ${id}`)
      else this.answer(request, response, body)
    }
    const next = this.#waiting.shift()
    if (next !== undefined) void this.#run(next.request, next.response)
  }
}

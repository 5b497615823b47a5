/** The only way to open a listener: an HTTP server on an address, whose handlers cannot end the process. */

import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Address } from '../core/address.js'
import { ConnectionLimit } from './connectionLimit.js'
import { contain, failResponse, guardResponse } from './containment.js'
import type { FaultLog } from './containment.js'
import { listenOn } from './listen.js'

/** Options of a listener. */
export interface HttpListenerOptions {
  /** Purpose of the listener, as log lines and metrics name it. */
  readonly name: string
  readonly faults: FaultLog
  /** Handles a request; may return a promise. */
  readonly handle: (request: IncomingMessage, response: ServerResponse) => unknown
  /** Handles a request to switch protocols; without it, such requests are handled like others. */
  readonly upgrade?: (request: IncomingMessage, socket: Duplex, head: Buffer) => void
  /** Handles a connection that failed or sent something other than a request; without it, the connection is closed. */
  readonly rejectMalformed?: (error: NodeJS.ErrnoException, socket: Socket) => void
  readonly server?: ServerOptions
  /** Maximum number of open connections; unlimited if absent. */
  readonly maxConnections?: number
}

/** Interval at which connections without a request are checked, while there are some. */
const SILENCE_CHECK_INTERVAL_MS = 1_000

const ignoreError = (): void => {}

/** An HTTP listener. What a handler throws costs the request or connection that it handles. */
export class HttpListener {
  readonly #server: Server
  readonly #connections: ConnectionLimit<Socket>
  #silenceTimer: NodeJS.Timeout | null = null

  constructor (readonly options: HttpListenerOptions) {
    const { upgrade, rejectMalformed, maxConnections = Infinity } = options
    this.#connections = new ConnectionLimit(maxConnections)
    this.#server = createServer(options.server ?? {}, (request, response) => { this.#handle(request, response) })
    this.#server.on('connection', socket => { this.#accept(socket) })
    if (upgrade !== undefined) {
      this.#server.on('upgrade', (request, socket, head) => {
        socket.on('error', ignoreError)
        this.#connections.markUsed(socket as Socket)
        this.guardConnection(socket, () => { upgrade(request, socket, head) })
      })
    }
    if (rejectMalformed !== undefined) {
      this.#server.on('clientError', (error, socket) => {
        this.guardConnection(socket, () => { rejectMalformed(error as NodeJS.ErrnoException, socket as Socket) })
      })
    }
  }

  /** Listens and returns the port; rejects when the address cannot be used. */
  async listen (address: Address): Promise<number> {
    const port = await listenOn(this.#server, address)
    // A connection that cannot be accepted, for want of descriptors or memory, leaves the listener as it is.
    this.#server.on('error', error => { this.record(error) })
    return port
  }

  /** Records an error of a handler. */
  record (error: unknown): void { this.options.faults.record(this.options.name, error) }

  /** Runs a step of the handling of a request; ends the request if the step fails. */
  guard (response: ServerResponse, step: () => unknown): void {
    guardResponse(this.options.faults, this.options.name, response, step)
  }

  /** Records an error in the handling of a request, and ends the request. */
  fail (response: ServerResponse, error: unknown): void {
    this.record(error)
    failResponse(response)
  }

  /** Runs a step of the handling of a connection; closes the connection if the step fails. */
  guardConnection (connection: Pick<Duplex, 'destroy'>, step: () => unknown): void {
    contain(step, error => {
      this.record(error)
      connection.destroy()
    })
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /** Stops listening, closes idle connections, and closes all remaining ones after `graceMs`. */
  async drain (graceMs: number): Promise<void> {
    const closed = new Promise<void>(resolve => { this.#server.close(() => { resolve() }) })
    this.#server.closeIdleConnections()
    const timer = setTimeout(() => { this.#server.closeAllConnections() }, graceMs)
    await closed
    clearTimeout(timer)
  }

  #accept (socket: Socket): void {
    socket.once('close', () => { this.#connections.remove(socket) })
    this.#connections.add(socket, performance.now())?.destroy()
    this.#silenceTimer ??= this.#startSilenceTimer()
  }

  // After a pause of the process, requests that arrived in it are read before connections are closed for having sent none.
  #startSilenceTimer (): NodeJS.Timeout {
    return setTimeout(() => { setImmediate(this.#checkSilence) }, SILENCE_CHECK_INTERVAL_MS).unref()
  }

  readonly #checkSilence = (): void => {
    for (const socket of this.#connections.takeExpired(performance.now())) socket.destroy()
    this.#silenceTimer = this.#connections.hasSilent ? this.#startSilenceTimer() : null
  }

  #handle (request: IncomingMessage, response: ServerResponse): void {
    this.#connections.markUsed(request.socket)
    request.on('error', ignoreError)
    response.on('error', error => { this.fail(response, error) })
    this.guard(response, () => this.options.handle(request, response))
  }
}

/** A backend server on a raw socket that answers with bytes of a script, for faults that an HTTP library cannot produce. */

import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

/** A request as the hostile server has read it. */
export interface HostileRequest {
  /** Number of the request at this server, from 0. */
  readonly number: number
  /** Number of the connection that it came on, from 0. */
  readonly connection: number
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
}

/** One step of a script: bytes to write, a pause, or an end of the connection. */
export type Act =
  | { readonly kind: 'write', readonly bytes: string }
  | { readonly kind: 'pause', readonly ms: number }
  /** Writes the bytes again and again until the other end closes the connection. */
  | { readonly kind: 'flood', readonly bytes: string }
  | { readonly kind: 'end' }
  | { readonly kind: 'reset' }

/** Returns what the server does on a request. */
export type Script = (request: HostileRequest) => readonly Act[]

const parseHead = (head: string): Pick<HostileRequest, 'method' | 'path' | 'headers'> => {
  const [requestLine = '', ...lines] = head.split('\r\n')
  const [method = '', path = ''] = requestLine.split(' ')
  const headers: Record<string, string> = {}
  for (const line of lines) {
    const colon = line.indexOf(':')
    if (colon > 0) headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim()
  }
  return { method, path, headers }
}

/** Runs a script for each request that it reads. */
export class HostileServer {
  readonly requests: HostileRequest[] = []
  readonly #sockets = new Set<Socket>()
  readonly #server = createServer(socket => { this.#accept(socket) })
  #connectionCount = 0

  constructor (readonly script: Script) {}

  /** Listens on a free port of the loopback address and returns it. */
  async listen (): Promise<number> {
    await new Promise<void>(resolve => { this.#server.listen(0, '127.0.0.1', resolve) })
    return (this.#server.address() as AddressInfo).port
  }

  /** Number of connections that are open. */
  get openConnections (): number { return this.#sockets.size }

  close (): void {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #accept (socket: Socket): void {
    const connection = this.#connectionCount
    this.#connectionCount += 1
    this.#sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { this.#sockets.delete(socket) })
    let unread = ''
    socket.on('data', chunk => {
      unread += chunk.toString('latin1')
      for (;;) {
        const end = unread.indexOf('\r\n\r\n')
        if (end < 0) return
        const head = parseHead(unread.slice(0, end))
        const bodyEnd = end + 4 + Number(head.headers['content-length'] ?? 0)
        if (unread.length < bodyEnd) return
        unread = unread.slice(bodyEnd)
        const request: HostileRequest = { number: this.requests.length, connection, ...head }
        this.requests.push(request)
        void this.#perform(socket, this.script(request))
      }
    })
  }

  async #perform (socket: Socket, acts: readonly Act[]): Promise<void> {
    for (const act of acts) {
      if (socket.destroyed) return
      if (act.kind === 'write') socket.write(act.bytes, 'latin1')
      else if (act.kind === 'pause') await new Promise(resolve => setTimeout(resolve, act.ms))
      else if (act.kind === 'flood') await this.#flood(socket, act.bytes)
      else if (act.kind === 'end') socket.end()
      else Object.assign(socket, { resetAndClosing: true }).destroy()
    }
  }

  async #flood (socket: Socket, bytes: string): Promise<void> {
    while (!socket.destroyed) {
      if (socket.write(bytes, 'latin1')) await new Promise(resolve => setImmediate(resolve))
      else await new Promise<void>(resolve => { socket.once('drain', resolve); socket.once('close', () => { resolve() }) })
    }
  }
}

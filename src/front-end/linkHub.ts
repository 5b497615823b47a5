/** Links between processes: one WebSocket for each pair of hosts, dialled when there is something to send. */

import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { WebSocket, WebSocketServer } from 'ws'
import type { RawData } from 'ws'
import { z } from 'zod'
import { toId } from '../core/id.js'
import type { HostId } from '../core/id.js'
import type { Address } from '../core/address.js'
import type { Log } from '../observability/log.js'
import { listenOn } from '../process/listen.js'
import { decodeFrame, decodeMessage, encodeFrame } from './linkCodec.js'
import type { LinkMessage } from './linkCodec.js'
import { createNonce, createProof, isSameProof } from './linkProof.js'

const MAX_FRAME_BYTES = 16 * 1024 * 1024
const HANDSHAKE_TIMEOUT_MS = 1_000
/** Messages kept while a link is being set up; gossip repairs what is dropped beyond that. */
const WAITING_MESSAGES = 256

/** A replaced connection still delivers what is under way for this long. */
const RETIREMENT_MS = 5_000

const challengeSchema = z.strictObject({ nonce: z.string().length(32) })
const helloSchema = z.strictObject({ host: z.string().min(1).max(256), nonce: z.string().length(32), proof: z.string().length(64) })
const welcomeSchema = z.strictObject({ host: z.string().min(1).max(256), proof: z.string().length(64) })

/** What the hub tells its process. */
export interface LinkEvents {
  onMessage (from: HostId, message: LinkMessage): void
  onMalformed (reason: string): void
  onTraffic (direction: 'in' | 'out', bytes: number): void
}

/** What a hub is made from. */
export interface LinkHubOptions {
  readonly self: HostId
  readonly listen: Address
  /** Reads the fleet's keys: the first one proves, all of them are accepted, so that a key can be changed without a restart. */
  readonly fleetKeys: () => readonly Buffer[]
  readonly log: Log
  readonly events: LinkEvents
}

/** A link that has been quiet for this long is asked for a sign of life with the next message. */
const QUIET_MS = 500
/** Without any sign within this time the link is closed: something between its ends may have lost track of it. */
const SIGN_OF_LIFE_MS = 1_200

interface Link {
  readonly host: HostId
  readonly socket: WebSocket
  isReady: boolean
  waiting: LinkMessage[]
  heardAt: number
  /** Runs while a sign of life is waited for. */
  deadline: NodeJS.Timeout | null
}

const createLink = (host: HostId, socket: WebSocket, isReady: boolean): Link => ({ host, socket, isReady, waiting: [], heardAt: performance.now(), deadline: null })

const toBuffer = (data: RawData): Buffer => Array.isArray(data) ? Buffer.concat(data) : Buffer.from(data as Buffer)

/** All links of a process. */
export class LinkHub {
  readonly #links = new Map<HostId, Link>()
  readonly #server: Server
  readonly #sockets: WebSocketServer
  #isClosed = false

  constructor (readonly options: LinkHubOptions) {
    this.#server = createServer((_request, response) => { response.writeHead(426).end() })
    this.#sockets = new WebSocketServer({ server: this.#server, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false })
    this.#sockets.on('connection', socket => { this.#accept(socket) })
    this.#sockets.on('error', () => {})
  }

  /** Listens; rejects when the address cannot be had. */
  async listen (): Promise<number> { return await listenOn(this.#server, this.options.listen) }

  /** Sends a message, dialling first if need be. Delivery is not promised. */
  send (to: HostId, address: Address, message: LinkMessage): void {
    if (this.#isClosed) return
    let link = this.#links.get(to)
    if (link === undefined) {
      if (address.port === 0) return
      link = this.#dial(to, address)
    }
    if (link.isReady) this.#write(link, message)
    else if (link.waiting.length < WAITING_MESSAGES) link.waiting.push(message)
  }

  /** Closes the link to a host; the next message dials anew. */
  drop (host: HostId): void {
    const link = this.#links.get(host)
    if (link === undefined) return
    this.#links.delete(host)
    link.socket.terminate()
  }

  close (): void {
    this.#isClosed = true
    for (const host of [...this.#links.keys()]) this.drop(host)
    for (const socket of this.#sockets.clients) socket.terminate()
    this.#sockets.close()
    this.#server.close()
  }

  #write (link: Link, message: LinkMessage): void {
    const bytes = encodeFrame(message)
    this.options.events.onTraffic('out', bytes.length)
    link.socket.send(bytes)
    if (link.deadline === null && performance.now() - link.heardAt > QUIET_MS) this.#askForLife(link)
  }

  #askForLife (link: Link): void {
    link.deadline = setTimeout(() => {
      this.options.log.warn({ host: link.host }, 'link is silent and is closed')
      link.socket.terminate()
    }, SIGN_OF_LIFE_MS)
    link.deadline.unref()
    link.socket.ping()
  }

  #noteLife (link: Link): void {
    link.heardAt = performance.now()
    if (link.deadline === null) return
    clearTimeout(link.deadline)
    link.deadline = null
  }

  #dial (host: HostId, address: Address): Link {
    const socket = new WebSocket(`ws://${address.address}:${address.port}`, { handshakeTimeout: HANDSHAKE_TIMEOUT_MS, perMessageDeflate: false, maxPayload: MAX_FRAME_BYTES })
    const link = createLink(host, socket, false)
    this.#links.set(host, link)
    const ownNonce = createNonce()
    let expected: readonly string[] = []
    this.#guard(link)
    socket.on('message', data => {
      if (link.isReady) {
        this.#noteLife(link)
        this.#receive(link.host, toBuffer(data))
        return
      }
      const frame = decodeFrame(toBuffer(data))
      const value = frame.tag === 'ok' ? frame.value : null
      const challenge = challengeSchema.safeParse(value)
      const keys = this.options.fleetKeys()
      const first = keys[0]
      if (challenge.success && first !== undefined && expected.length === 0) {
        expected = keys.map(key => createProof(key, 'listener', host, ownNonce, challenge.data.nonce))
        const proof = createProof(first, 'dialler', this.options.self, challenge.data.nonce, ownNonce)
        socket.send(encodeFrame({ host: this.options.self, nonce: ownNonce, proof }))
        return
      }
      const welcome = welcomeSchema.safeParse(value)
      if (welcome.success && welcome.data.host === host && expected.some(proof => isSameProof(proof, welcome.data.proof))) this.#open(link)
      else this.#reject(socket, 'listener failed to prove its identity')
    })
    return link
  }

  #accept (socket: WebSocket): void {
    const ownNonce = createNonce()
    let link: Link | null = null
    const timer = setTimeout(() => { if (link === null) socket.terminate() }, HANDSHAKE_TIMEOUT_MS)
    socket.on('error', () => { socket.terminate() })
    socket.on('close', () => { clearTimeout(timer) })
    socket.send(encodeFrame({ nonce: ownNonce }))
    socket.on('message', data => {
      if (link !== null) {
        this.#noteLife(link)
        this.#receive(link.host, toBuffer(data))
        return
      }
      const frame = decodeFrame(toBuffer(data))
      const hello = helloSchema.safeParse(frame.tag === 'ok' ? frame.value : null)
      if (!hello.success) {
        this.#reject(socket, 'malformed hello')
        return
      }
      const host = toId<HostId>(hello.data.host)
      const key = this.options.fleetKeys().find(candidate =>
        isSameProof(createProof(candidate, 'dialler', host, ownNonce, hello.data.nonce), hello.data.proof))
      if (key === undefined) {
        this.#reject(socket, 'dialler failed to prove its identity')
        return
      }
      socket.send(encodeFrame({ host: this.options.self, proof: createProof(key, 'listener', this.options.self, hello.data.nonce, ownNonce) }))
      link = this.#adopt(host, socket)
    })
  }

  // The newest proved connection is the one to send on: an older one may have gone silent without closing.
  #adopt (host: HostId, socket: WebSocket): Link {
    const link = createLink(host, socket, true)
    const older = this.#links.get(host)
    this.#links.set(host, link)
    this.#guard(link)
    if (older !== undefined) {
      for (const message of older.waiting) this.#write(link, message)
      older.waiting = []
      setTimeout(() => { older.socket.close() }, RETIREMENT_MS).unref()
    }
    return link
  }

  #open (link: Link): void {
    link.isReady = true
    const waiting = link.waiting
    link.waiting = []
    for (const message of waiting) this.#write(link, message)
  }

  #guard (link: Link): void {
    const forget = (): void => { if (this.#links.get(link.host) === link) this.#links.delete(link.host) }
    link.socket.on('pong', () => { this.#noteLife(link) })
    link.socket.on('close', () => {
      if (link.deadline !== null) clearTimeout(link.deadline)
      forget()
    })
    link.socket.on('error', () => {
      forget()
      link.socket.terminate()
    })
  }

  #reject (socket: WebSocket, reason: string): void {
    this.options.events.onMalformed(reason)
    this.options.log.warn({ reason }, 'link refused')
    socket.terminate()
  }

  #receive (from: HostId, bytes: Buffer): void {
    this.options.events.onTraffic('in', bytes.length)
    const message = decodeMessage(bytes)
    if (message.tag === 'ok') {
      this.options.events.onMessage(from, message.value)
      return
    }
    this.options.events.onMalformed(message.error.reason)
    this.options.log.warn({ from, reason: message.error.reason }, 'message refused')
  }
}

/** Links between processes: one authenticated WebSocket for each pair of hosts, opened when the first message is sent. */

import { WebSocket, WebSocketServer } from 'ws'
import type { RawData } from 'ws'
import type { Duplex } from 'node:stream'
import { z } from 'zod'
import { toId } from '../core/id.js'
import type { HostId } from '../core/id.js'
import type { Address } from '../core/address.js'
import type { Log } from '../observability/log.js'
import { contain } from '../process/containment.js'
import type { FaultLog } from '../process/containment.js'
import { HttpListener } from '../process/httpListener.js'
import { decodeFrame, decodeMessage, encodeFrame, encodeMessage } from './linkCodec.js'
import type { LinkMessage } from './linkCodec.js'
import { createNonce, createProof, isSameProof } from './linkProof.js'
import { UnprovenPeers, limitReceivedBytes } from './unprovenPeer.js'

const MAX_FRAME_BYTES = 16 * 1024 * 1024
const UPGRADE_REQUIRED = 426
const HANDSHAKE_TIMEOUT_MS = 1_000
/** Accepted connections that have not finished the handshake; the oldest one is closed for a further one. */
const MAX_PENDING_HANDSHAKES = 1_024
/** Messages queued while a link is opened. Further ones are dropped; gossip makes up for them. */
const MAX_QUEUED_MESSAGES = 256

/** Messages to a host are dropped while this many bytes wait for it. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024

/** A replaced connection is closed after this time, so that messages in transit still arrive. */
const REPLACED_LINK_CLOSE_DELAY_MS = 5_000

const NONCE_LENGTH = 32
const PROOF_LENGTH = 64
const MAX_HOST_LENGTH = 256
const MAX_UTF8_BYTES = 3
/** Names of fields, lengths and frame heads of the two messages that one end sends. */
const HANDSHAKE_OVERHEAD_BYTES = 128
/** The most that one end sends before its identity is proved: a challenge and the longer of hello and welcome. */
const MAX_HANDSHAKE_BYTES = NONCE_LENGTH + MAX_HOST_LENGTH * MAX_UTF8_BYTES + NONCE_LENGTH + PROOF_LENGTH + HANDSHAKE_OVERHEAD_BYTES

const nonceSchema = z.string().length(NONCE_LENGTH)
const hostSchema = z.string().min(1).max(MAX_HOST_LENGTH)
const proofSchema = z.string().length(PROOF_LENGTH)
const challengeSchema = z.strictObject({ nonce: nonceSchema })
const helloSchema = z.strictObject({ host: hostSchema, nonce: nonceSchema, proof: proofSchema })
const welcomeSchema = z.strictObject({ host: hostSchema, proof: proofSchema })

export interface LinkEvents {
  onMessage (from: HostId, message: LinkMessage): void
  /** Called for each malformed message and each rejected handshake. */
  onMalformed (reason: string): void
  /** Called with the size of each frame, the kind of its message and the host at the other end. */
  onTraffic (direction: 'in' | 'out', bytes: number, kind: LinkMessage['kind'], host: HostId): void
}

export interface LinkHubOptions {
  readonly self: HostId
  readonly listen: Address
  /** Returns the fleet keys. The first one signs and all of them verify, so that keys can be rotated without a restart. */
  readonly fleetKeys: () => readonly Buffer[]
  readonly log: Log
  readonly faults: FaultLog
  readonly events: LinkEvents
}

/** A link that has received nothing for this long is pinged with the next message. */
const PING_AFTER_IDLE_MS = 500
/** A link that receives nothing within this time after a ping is closed: a middlebox may have dropped the connection silently. */
const PING_TIMEOUT_MS = 1_200

interface Link {
  readonly host: HostId
  readonly socket: WebSocket
  /** Whether the handshake is complete. */
  isReady: boolean
  /** Messages to send when the handshake is complete. */
  queue: LinkMessage[]
  /** When the last frame arrived, by `performance.now()`. */
  lastReceivedAt: number
  /** Closes the link; runs from a ping to the next frame received. */
  pingTimeout: NodeJS.Timeout | null
}

const createLink = (host: HostId, socket: WebSocket, isReady: boolean): Link => ({ host, socket, isReady, queue: [], lastReceivedAt: performance.now(), pingTimeout: null })

const toBuffer = (data: RawData): Buffer => Array.isArray(data) ? Buffer.concat(data) : Buffer.from(data as Buffer)

/** Decodes a frame of an end that has not proved its identity; null when it is malformed. */
const decodeHandshake = (data: RawData): unknown => {
  const bytes = toBuffer(data)
  const frame = bytes.length > MAX_HANDSHAKE_BYTES ? null : decodeFrame(bytes)
  return frame?.tag === 'ok' ? frame.value : null
}

/** Opens, accepts and uses all links of a process. */
export class LinkHub {
  readonly #links = new Map<HostId, Link>()
  readonly #unproven = new UnprovenPeers<WebSocket>(MAX_PENDING_HANDSHAKES)
  readonly #listener: HttpListener
  readonly #sockets = new WebSocketServer({ noServer: true, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false })
  #isClosed = false

  constructor (readonly options: LinkHubOptions) {
    this.#listener = new HttpListener({
      name: 'link',
      faults: options.faults,
      handle: (_request, response) => { response.writeHead(UPGRADE_REQUIRED).end() },
      upgrade: (request, socket, head) => { this.#sockets.handleUpgrade(request, socket, head, accepted => { this.#guard(accepted, () => { this.#accept(accepted, socket) }) }) }
    })
  }

  /** Listens and returns the port; rejects when the address cannot be used. */
  async listen (): Promise<number> { return await this.#listener.listen(this.options.listen) }

  /** Sends a message, after opening a link if there is none. Delivery is not guaranteed. */
  send (to: HostId, address: Address, message: LinkMessage): void {
    if (this.#isClosed) return
    contain(() => { this.#send(to, address, message) }, error => {
      this.#listener.record(error)
      this.drop(to)
    })
  }

  #send (to: HostId, address: Address, message: LinkMessage): void {
    let link = this.#links.get(to)
    if (link === undefined) {
      if (address.port === 0) return
      link = this.#dial(to, address)
    }
    if (link.isReady) this.#write(link, message)
    else if (link.queue.length < MAX_QUEUED_MESSAGES) link.queue.push(message)
  }

  /** Closes the link to a host; the next message opens a new one. */
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
    this.#listener.close()
  }

  // What the handler of a frame throws ends the link that it came on.
  #guard (socket: WebSocket, step: () => void): void {
    contain(step, error => {
      this.#listener.record(error)
      socket.terminate()
    })
  }

  #write (link: Link, message: LinkMessage): void {
    if (link.socket.bufferedAmount > MAX_BUFFERED_BYTES) return
    const bytes = encodeMessage(message)
    this.options.events.onTraffic('out', bytes.length, message.kind, link.host)
    link.socket.send(bytes)
    if (link.pingTimeout === null && performance.now() - link.lastReceivedAt > PING_AFTER_IDLE_MS) this.#ping(link)
  }

  #ping (link: Link): void {
    link.pingTimeout = setTimeout(() => {
      this.options.log.warn({ host: link.host }, 'link received nothing after a ping; closing it')
      link.socket.terminate()
    }, PING_TIMEOUT_MS)
    link.pingTimeout.unref()
    link.socket.ping()
  }

  #recordActivity (link: Link): void {
    link.lastReceivedAt = performance.now()
    if (link.pingTimeout === null) return
    clearTimeout(link.pingTimeout)
    link.pingTimeout = null
  }

  #dial (host: HostId, address: Address): Link {
    const socket = new WebSocket(`ws://${address.address}:${address.port}`, { handshakeTimeout: HANDSHAKE_TIMEOUT_MS, perMessageDeflate: false, maxPayload: MAX_FRAME_BYTES })
    const link = createLink(host, socket, false)
    this.#links.set(host, link)
    const ownNonce = createNonce()
    let expected: readonly string[] = []
    this.#attachListeners(link)
    let liftLimit = (): void => {}
    socket.once('upgrade', ({ socket: connection }) => {
      // After the listener of the WebSocket, so that a frame that ends the handshake lifts the limit before what follows it is counted.
      socket.once('open', () => { liftLimit = this.#limitHandshake(socket, connection) })
      const timer = setTimeout(() => { if (!link.isReady) socket.terminate() }, HANDSHAKE_TIMEOUT_MS)
      socket.once('close', () => { clearTimeout(timer) })
    })
    const receive = (data: RawData): void => {
      if (link.isReady) {
        this.#recordActivity(link)
        this.#receive(link.host, toBuffer(data))
        return
      }
      const value = decodeHandshake(data)
      const challenge = challengeSchema.safeParse(value)
      const keys = this.options.fleetKeys()
      const signingKey = keys[0]
      if (challenge.success && signingKey !== undefined && expected.length === 0) {
        expected = keys.map(key => createProof(key, 'listener', host, ownNonce, challenge.data.nonce))
        const proof = createProof(signingKey, 'dialler', this.options.self, challenge.data.nonce, ownNonce)
        socket.send(encodeFrame({ host: this.options.self, nonce: ownNonce, proof }))
        return
      }
      const welcome = welcomeSchema.safeParse(value)
      if (welcome.success && welcome.data.host === host && expected.some(proof => isSameProof(proof, welcome.data.proof))) {
        liftLimit()
        this.#markReady(link)
        return
      }
      this.#reject(socket, 'listener failed to prove its identity')
    }
    socket.on('message', data => { this.#guard(socket, () => { receive(data) }) })
    return link
  }

  #limitHandshake (socket: WebSocket, connection: Duplex): () => void {
    return limitReceivedBytes(connection, MAX_HANDSHAKE_BYTES, () => { this.#reject(socket, 'too many bytes before the handshake') })
  }

  #accept (socket: WebSocket, connection: Duplex): void {
    const ownNonce = createNonce()
    let link: Link | null = null
    const timer = setTimeout(() => { if (link === null) socket.terminate() }, HANDSHAKE_TIMEOUT_MS)
    socket.on('error', () => { socket.terminate() })
    socket.on('close', () => {
      clearTimeout(timer)
      this.#unproven.remove(socket)
    })
    this.#unproven.add(socket)
    const liftLimit = this.#limitHandshake(socket, connection)
    socket.send(encodeFrame({ nonce: ownNonce }))
    const receive = (data: RawData): void => {
      if (link !== null) {
        this.#recordActivity(link)
        this.#receive(link.host, toBuffer(data))
        return
      }
      const hello = helloSchema.safeParse(decodeHandshake(data))
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
      liftLimit()
      this.#unproven.remove(socket)
      link = this.#acceptLink(host, socket)
    }
    socket.on('message', data => { this.#guard(socket, () => { receive(data) }) })
  }

  // The latest authenticated connection is used for sending: an earlier one may be dead without having been closed.
  #acceptLink (host: HostId, socket: WebSocket): Link {
    const link = createLink(host, socket, true)
    const previous = this.#links.get(host)
    this.#links.set(host, link)
    this.#attachListeners(link)
    if (previous !== undefined) {
      for (const message of previous.queue) this.#write(link, message)
      previous.queue = []
      setTimeout(() => { previous.socket.close() }, REPLACED_LINK_CLOSE_DELAY_MS).unref()
    }
    return link
  }

  #markReady (link: Link): void {
    link.isReady = true
    const queue = link.queue
    link.queue = []
    for (const message of queue) this.#write(link, message)
  }

  #attachListeners (link: Link): void {
    const removeLink = (): void => { if (this.#links.get(link.host) === link) this.#links.delete(link.host) }
    link.socket.on('pong', () => { this.#recordActivity(link) })
    link.socket.on('close', () => {
      if (link.pingTimeout !== null) clearTimeout(link.pingTimeout)
      removeLink()
    })
    link.socket.on('error', () => {
      removeLink()
      link.socket.terminate()
    })
  }

  #reject (socket: WebSocket, reason: string): void {
    this.options.events.onMalformed(reason)
    this.options.log.warn({ reason }, 'link handshake rejected')
    socket.terminate()
  }

  #receive (from: HostId, bytes: Buffer): void {
    const message = decodeMessage(bytes)
    if (message.tag === 'ok') {
      this.options.events.onTraffic('in', bytes.length, message.value.kind, from)
      this.options.events.onMessage(from, message.value)
      return
    }
    this.options.events.onMalformed(message.error.reason)
    this.options.log.warn({ from, reason: message.error.reason }, 'malformed message dropped')
  }
}

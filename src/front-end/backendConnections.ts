/** Opens connections to backend servers and watches them: for resets, and for bytes without end that belong to no body. */

import type { Socket } from 'node:net'
import { buildConnector } from 'undici'

const CONNECT_TIMEOUT_MS = 500
/** A close-delimited response counts as incomplete within this time after a connection to the same server was reset. */
const RESET_WINDOW_MS = 1_000
/** Bytes of one answer outside its body: interim responses, status line, headers, chunk framing and trailers. */
const MAX_OVERHEAD_BYTES = 64 * 1024
/** Bytes of chunk framing for each byte of the body; a chunk of one byte has five. */
const MAX_FRAMING_PER_BODY_BYTE = 8

/** Code of the error when a new connection was closed before anything was sent. */
export const UNUSED_CONNECTION_CODE = 'CONNECTION_UNUSED'

/** An answer has more bytes around its body than any sound server sends. */
class OverheadError extends Error {
  readonly code = 'ANSWER_OVERHEAD'

  constructor () { super('the answer has too many bytes outside its body') }
}

/** A new connection was closed before anything was sent. */
class UnusedConnectionError extends Error {
  readonly code = UNUSED_CONNECTION_CODE

  constructor () { super('the connection was closed before anything was sent') }
}

// The events of one poll may take long to handle. What arrived meanwhile, such as the end of a caller's connection, is read by the next.
const afterNextPoll = (step: () => void): void => { setImmediate(() => setImmediate(step)) }

/** Counts the bytes that one answer has outside its body. */
class OverheadMeter {
  #readBytes = 0
  #bodyBytes = 0

  /** Counts bytes that were read; negative if they were put back. */
  countRead (bytes: number): void { this.#readBytes += bytes }

  countBody (bytes: number): void { this.#bodyBytes += bytes }

  get isExceeded (): boolean {
    return this.#readBytes - this.#bodyBytes > MAX_OVERHEAD_BYTES + this.#bodyBytes * MAX_FRAMING_PER_BODY_BYTE
  }

  startAnswer (): void {
    this.#readBytes = 0
    this.#bodyBytes = 0
  }
}

/** A connection to a backend server. */
interface WatchedConnection {
  readonly meter: OverheadMeter
  /** Resumes the parser if it is paused; null if it never was during the present answer. */
  resumeParser: (() => void) | null
  hasEnded: boolean
}

/** The connections of a client to backend servers. */
export class BackendConnections {
  readonly #resets = new Map<string, number>()
  readonly #connector = buildConnector({ timeout: CONNECT_TIMEOUT_MS })
  #holdsNextWrite = false
  /** The connection that is being read: undici parses what it reads before it reads again. */
  #reading: WatchedConnection | null = null

  /** `onFault` gets what undici throws on an event of a connection, which is then closed. */
  constructor (readonly onFault: (error: unknown) => void) {}

  readonly connect: buildConnector.connector = (options, callback) => {
    const origin = `http://${options.hostname}:${options.port}`
    this.#connector(options, (...result) => {
      const socket = result[1]
      // undici leaves the socket out when there is an error.
      if (socket == null) {
        callback(...result)
        return
      }
      this.#watch(socket, origin)
      afterNextPoll(() => {
        if (socket.destroyed) callback(new UnusedConnectionError(), null)
        else callback(null, socket)
      })
    })
  }

  /** Whether a connection to the server was reset recently: undici reports a close-delimited response as complete after a reset. */
  wasRecentlyReset (origin: string): boolean {
    const at = this.#resets.get(origin)
    return at !== undefined && performance.now() - at < RESET_WINDOW_MS
  }

  /** Counts bytes of a body, which undici reports while it parses what it has read. */
  countBody (bytes: number): void { this.#reading?.meter.countBody(bytes) }

  /** Whether the parser of the connection that is being read may be paused; if so, notes how it is resumed. */
  pauseAnswer (resumeParser: () => void): boolean {
    if (this.#reading === null || this.#reading.hasEnded) return false
    this.#reading.resumeParser = resumeParser
    return true
  }

  /** Starts to count anew for the next answer on the connection that is being read. */
  endAnswer (): void {
    if (this.#reading === null) return
    this.#reading.meter.startAnswer()
    this.#reading.resumeParser = null
  }

  /** Holds what is written next, to any connection, until one more poll has passed; a connection that closes until then sends nothing. */
  holdNextWrite (): void { this.#holdsNextWrite = true }

  #watchWrites (socket: Socket): void {
    const write = socket.write.bind(socket) as (...args: unknown[]) => boolean
    socket.write = (...args: unknown[]): boolean => {
      if (this.#holdsNextWrite) {
        this.#holdsNextWrite = false
        socket.cork()
        afterNextPoll(() => { socket.uncork() })
      }
      return write(...args)
    }
  }

  #watch (socket: Socket, origin: string): void {
    this.#containFaults(socket)
    this.#watchWrites(socket)
    const meter = new OverheadMeter()
    const connection: WatchedConnection = { meter, resumeParser: null, hasEnded: false }
    // These listeners run before those of undici, which may complete the response within the same event and then throws if its
    // parser is paused. Nothing more arrives, so the parser may as well go on.
    const onEnd = (wasReset: boolean): void => {
      if (wasReset) this.#recordReset(origin)
      connection.hasEnded = true
      connection.resumeParser?.()
    }
    socket.on('error', (error: NodeJS.ErrnoException) => {
      // undici takes a reset for the end of an answer without a length, and its parser can't be resumed any more.
      if (connection.resumeParser !== null && error.code === 'ECONNRESET') error.code = 'UND_ERR_SOCKET'
      onEnd(true)
    })
    socket.on('close', () => { onEnd(!socket.readableEnded) })
    // A reset is reported as a plain end if it comes while data is unread. Only a reset connection has no other end any more.
    socket.on('end', () => { onEnd(socket.remoteAddress === undefined) })
    const read = socket.read.bind(socket)
    const unshift = socket.unshift.bind(socket)
    socket.read = (size?: number): Buffer | null => {
      const chunk = read(size) as Buffer | null
      this.#reading = connection
      if (chunk === null) return null
      meter.countRead(chunk.length)
      if (!meter.isExceeded) return chunk
      socket.destroy(new OverheadError())
      return null
    }
    socket.unshift = (chunk: Buffer): void => {
      meter.countRead(-chunk.length)
      unshift(chunk)
    }
  }

  // undici parses within the events of its socket, so that bytes of a server that break it would end the process.
  #containFaults (socket: Socket): void {
    const emit = socket.emit.bind(socket) as (event: string | symbol, ...values: unknown[]) => boolean
    socket.emit = (event: string | symbol, ...values: unknown[]): boolean => {
      try {
        return emit(event, ...values)
      } catch (error) {
        this.onFault(error)
        socket.destroy()
        return true
      }
    }
  }

  #recordReset (origin: string): void {
    this.#resets.delete(origin)
    this.#resets.set(origin, performance.now())
    for (const [oldest, at] of this.#resets) {
      if (performance.now() - at < RESET_WINDOW_MS) break
      this.#resets.delete(oldest)
    }
  }
}

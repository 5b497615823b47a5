/**
 * Orders the requests of one caller connection. A caller may send further requests before the first is answered: a few of them run
 * at once, more wait unstarted, and beyond a limit no more are read.
 */

import type { Socket } from 'node:net'

/** Requests of a connection that may run at once. */
export const MAX_CONCURRENT_REQUESTS = 8
/** Unanswered requests of a connection, waiting ones included, from which on no more are read. */
export const MAX_UNANSWERED_REQUESTS = 16

/** A request on a caller connection. */
export interface ConnectionRequest {
  /** Called once the request may run. `isBehind` tells whether earlier requests of the connection are unanswered. */
  start (isBehind: boolean): void
  /** Called when the connection has closed before the request was answered, also if it never started. */
  abandon (): void
}

interface Entry {
  readonly request: ConnectionRequest
  /** `reading` until its body is there, `deferred` if it may start only once all earlier requests are answered. */
  state: 'reading' | 'waiting' | 'deferred' | 'started'
}

/** The requests of one caller connection, in the order of their arrival. */
export class CallerConnection {
  readonly #entries: Entry[] = []
  #isClosing = false
  #isEnding = false

  constructor (readonly socket: Socket) {
    socket.once('close', () => { this.#abandonAll() })
    // A caller that closes its side has left, also amid a body: nothing else would end that request.
    socket.once('end', () => {
      this.#abandonAll()
      socket.destroy()
    })
  }

  /** Adds a request whose head has arrived. Returns false if it counts as not read, because an earlier answer closes the connection. */
  add (request: ConnectionRequest): boolean {
    if (this.#isClosing || this.#isEnding) return false
    this.#entries.push({ request, state: 'reading' })
    if (this.#entries.length >= MAX_UNANSWERED_REQUESTS) this.socket.pause()
    return true
  }

  /** Starts a request whose body is there, as soon as its turn comes. */
  ready (request: ConnectionRequest): void {
    const entry = this.#find(request)
    if (entry === undefined) return
    entry.state = 'waiting'
    this.#startNext()
  }

  /** Takes a started request back until all earlier ones are answered; `start` is then called again. */
  defer (request: ConnectionRequest): void {
    const entry = this.#find(request)
    if (entry === undefined) return
    entry.state = 'deferred'
    this.#startNext()
  }

  /** Removes a request that is answered or has failed. */
  end (request: ConnectionRequest): void {
    const index = this.#entries.findIndex(entry => entry.request === request)
    if (index < 0) return
    this.#entries.splice(index, 1)
    if (this.#entries.length === MAX_UNANSWERED_REQUESTS - 1) this.socket.resume()
    this.#startNext()
    this.#endIfAnswered()
  }

  /**
   * Returns whether the answer to a request may close the connection: not while later requests run, whose answers would be lost.
   * If it may, requests that have not started never will, and count as not read.
   */
  mayCloseAfter (request: ConnectionRequest): boolean {
    const index = this.#entries.findIndex(entry => entry.request === request)
    if (this.#entries.slice(index + 1).some(entry => entry.state === 'started')) return false
    this.#isClosing = true
    return true
  }

  /** Closes the connection once the requests that have been read are answered, because nothing after them can be read. */
  endAfterAnswers (): void {
    this.#isEnding = true
    this.#endIfAnswered()
  }

  /** Number of requests that are unanswered. */
  get size (): number { return this.#entries.length }

  #find (request: ConnectionRequest): Entry | undefined { return this.#entries.find(entry => entry.request === request) }

  #startNext (): void {
    let started = 0
    for (const [index, entry] of this.#entries.entries()) {
      if (entry.state === 'started') {
        started += 1
        continue
      }
      if (this.#isClosing || started >= MAX_CONCURRENT_REQUESTS) return
      // The requests behind one that cannot start yet wait as well, so that the order is kept.
      if (entry.state === 'reading' || (entry.state === 'deferred' && index > 0)) return
      entry.state = 'started'
      started += 1
      entry.request.start(index > 0)
    }
  }

  #endIfAnswered (): void {
    if (this.#isEnding && this.#entries.length === 0) this.socket.end()
  }

  #abandonAll (): void {
    this.#isClosing = true
    for (const { request } of this.#entries.splice(0)) request.abandon()
  }
}

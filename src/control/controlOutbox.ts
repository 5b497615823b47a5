/** Delivers the outbox of a control host. Messages that depend on persisted records are sent only after these are synced to disk. */

import { setTimeout as delay } from 'node:timers/promises'
import type { Outcome } from '../core/outcome.js'
import type { Millis } from '../core/tick.js'
import type { WriteRefusal } from '../replicated-log/replicaFiles.js'
import type { DiskRecord, DiskReported, LogMessageSent, Persisted, PersistRequested } from '../replicated-log/types.js'
import type { LinkDropped, MessageSent } from '../membership/types.js'
import type { ControlAnswer, ControlMessage, ControlOutput } from './types.js'

/** First pause after a refused write; it doubles up to the longest one. */
const MIN_RETRY_DELAY_MS: Millis = 50
const MAX_RETRY_DELAY_MS: Millis = 500
/** Messages that wait for the disk. Of more, the oldest are dropped, as a network may do. */
const MAX_AWAITING_SYNC = 1_024

/** Handlers for the rows of the outbox. */
export interface OutboxHandlers {
  /** Writes and syncs records; rejects when the state of the disk is unknown. */
  readonly write: (records: readonly DiskRecord[]) => Promise<Outcome<null, WriteRefusal>>
  readonly send: (row: MessageSent<ControlMessage>) => void
  readonly drop: (row: LinkDropped) => void
  readonly answer: (row: ControlAnswer) => void
  readonly push: (row: Persisted | DiskReported) => void
  /** Called with the reason when the disk refuses writes, and with null when it takes them again. */
  readonly onRefusal: (reason: string | null) => void
  readonly onDiskFailure: (error: unknown) => void
}

/**
 * Holds back `afterSync` messages until the records before them are synced. Records queued during a write share the next one.
 * While the disk refuses writes, the records stay queued and are tried again; nothing that depends on them is sent.
 */
export class ControlOutbox {
  readonly #queue: PersistRequested[] = []
  #awaitingSync: LogMessageSent[] = []
  #writing: Promise<void> | null = null
  #retryDelayMs: Millis | null = null
  readonly #stopped = new AbortController()

  constructor (readonly handlers: OutboxHandlers) {}

  deliver (row: ControlOutput): void {
    if (row.kind === 'persist') {
      this.#queue.push(row)
      this.#writing ??= this.#writeQueued()
    } else if (row.kind === 'proposal-answer' || row.kind === 'read-answer' || row.kind === 'lookup-answer') {
      this.handlers.answer(row)
    } else if (row.kind === 'drop-link') {
      this.handlers.drop(row)
    } else if ('afterSync' in row && row.afterSync && this.#writing !== null) {
      this.#awaitingSync.push(row)
    } else {
      this.handlers.send(row)
    }
  }

  /** Resolves when all queued records are written; records that the disk refuses now are given up. */
  async stop (): Promise<void> {
    this.#stopped.abort()
    await this.#writing
  }

  async #writeQueued (): Promise<void> {
    // Defers the write until all rows of the current tick are delivered.
    await Promise.resolve()
    try {
      while (this.#queue.length > 0) {
        const isWritten = await this.#writeBatch()
        if (!isWritten && !await this.#waitForRetry()) return
      }
    } catch (error) {
      this.handlers.onDiskFailure(error)
      return
    }
    this.#writing = null
    this.#sendAll(this.#awaitingSync)
    this.#awaitingSync = []
  }

  // Returns whether the disk took all records that were queued at the start.
  async #writeBatch (): Promise<boolean> {
    const batch = [...this.#queue]
    const released = this.#awaitingSync
    this.#awaitingSync = []
    const outcome = await this.handlers.write(batch.map(({ record }) => record))
    const written = outcome.tag === 'ok' ? batch.length : outcome.error.written
    this.#queue.splice(0, written)
    const last = batch[written - 1]
    if (outcome.tag === 'error') {
      this.#awaitingSync = [...released, ...this.#awaitingSync].slice(-MAX_AWAITING_SYNC)
      this.#reportRefusal(outcome.error.reason)
    } else {
      this.#reportRefusal(null)
      this.#sendAll(released)
    }
    if (last !== undefined) this.handlers.push({ kind: 'persisted', sequence: last.sequence })
    return outcome.tag === 'ok'
  }

  #reportRefusal (reason: string | null): void {
    const wasRefusing = this.#retryDelayMs !== null
    const isRefusing = reason !== null
    if (!isRefusing) this.#retryDelayMs = null
    else this.#retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * (this.#retryDelayMs ?? MIN_RETRY_DELAY_MS / 2))
    if (wasRefusing === isRefusing) return
    this.handlers.onRefusal(reason)
    this.handlers.push({ kind: 'disk', isRefusing })
  }

  // Returns false when the process stops.
  async #waitForRetry (): Promise<boolean> {
    if (this.#stopped.signal.aborted) return false
    try {
      await delay(this.#retryDelayMs ?? MIN_RETRY_DELAY_MS, undefined, { signal: this.#stopped.signal })
      return true
    } catch {
      return false
    }
  }

  #sendAll (rows: readonly LogMessageSent[]): void {
    for (const row of rows) this.handlers.send(row)
  }
}

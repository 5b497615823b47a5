/** Delivers the outbox of a control host. Messages that depend on persisted records are sent only after these are synced to disk. */

import type { DiskRecord, LogMessageSent, Persisted } from '../replicated-log/types.js'
import type { LinkDropped, MessageSent } from '../membership/types.js'
import type { ControlAnswer, ControlMessage, ControlOutput } from './types.js'

/** Handlers for the rows of the outbox. */
export interface OutboxHandlers {
  /** Writes and syncs records. */
  readonly write: (records: readonly DiskRecord[]) => Promise<void>
  readonly send: (row: MessageSent<ControlMessage>) => void
  readonly drop: (row: LinkDropped) => void
  readonly answer: (row: ControlAnswer) => void
  readonly push: (row: Persisted) => void
  readonly onDiskFailure: (error: unknown) => void
}

/** Holds back `afterSync` messages until the records before them are synced. Records queued during a write share the next one. */
export class ControlOutbox {
  #records: DiskRecord[] = []
  #sequence = 0
  #awaitingSync: LogMessageSent[] = []
  #writing: Promise<void> | null = null

  constructor (readonly handlers: OutboxHandlers) {}

  deliver (row: ControlOutput): void {
    if (row.kind === 'persist') {
      this.#records.push(row.record)
      this.#sequence = row.sequence
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

  /** Resolves when all queued records are written. */
  async waitForWrites (): Promise<void> { await this.#writing }

  async #writeQueued (): Promise<void> {
    // Defers the write until all rows of the current tick are delivered.
    await Promise.resolve()
    try {
      while (this.#records.length > 0) {
        const records = this.#records
        const released = this.#awaitingSync
        const sequence = this.#sequence
        this.#records = []
        this.#awaitingSync = []
        await this.handlers.write(records)
        for (const row of released) this.handlers.send(row)
        this.handlers.push({ kind: 'persisted', sequence })
      }
    } catch (error) {
      this.handlers.onDiskFailure(error)
      return
    }
    this.#writing = null
    for (const row of this.#awaitingSync) this.handlers.send(row)
    this.#awaitingSync = []
  }
}

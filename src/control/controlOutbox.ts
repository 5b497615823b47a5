/** Delivers a control host's outbox: what depends on the disk leaves only after it is synced. */

import type { DiskRecord, LogMessageSent, Persisted } from '../replicated-log/types.js'
import type { LinkDropped, MessageSent } from '../membership/types.js'
import type { ControlAnswer, ControlMessage, ControlOutput } from './types.js'

/** Where rows go. */
export interface OutboxHandlers {
  readonly write: (records: readonly DiskRecord[]) => Promise<void>
  readonly send: (row: MessageSent<ControlMessage>) => void
  readonly drop: (row: LinkDropped) => void
  readonly answer: (row: ControlAnswer) => void
  readonly push: (row: Persisted) => void
  readonly onDiskFailure: (error: unknown) => void
}

/** Orders rows against the disk; records that wait together share a write. */
export class ControlOutbox {
  #records: DiskRecord[] = []
  #sequence = 0
  #held: LogMessageSent[] = []
  #writing: Promise<void> | null = null

  constructor (readonly targets: OutboxHandlers) {}

  deliver (row: ControlOutput): void {
    if (row.kind === 'persist') {
      this.#records.push(row.record)
      this.#sequence = row.sequence
      this.#writing ??= this.#drain()
    } else if (row.kind === 'proposal-answer' || row.kind === 'read-answer' || row.kind === 'lookup-answer') {
      this.targets.answer(row)
    } else if (row.kind === 'drop-link') {
      this.targets.drop(row)
    } else if ('afterSync' in row && row.afterSync && this.#writing !== null) {
      this.#held.push(row)
    } else {
      this.targets.send(row)
    }
  }

  /** Waits until nothing is being written. */
  async waitForWrites (): Promise<void> { await this.#writing }

  async #drain (): Promise<void> {
    // Rows of the same tick are still on their way into this outbox.
    await Promise.resolve()
    try {
      while (this.#records.length > 0) {
        const records = this.#records
        const held = this.#held
        const sequence = this.#sequence
        this.#records = []
        this.#held = []
        await this.targets.write(records)
        for (const row of held) this.targets.send(row)
        this.targets.push({ kind: 'persisted', sequence })
      }
    } catch (error) {
      this.targets.onDiskFailure(error)
      return
    }
    this.#writing = null
    for (const row of this.#held) this.targets.send(row)
    this.#held = []
  }
}

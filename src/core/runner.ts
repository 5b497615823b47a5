/** Runs the ticks of a world on the event loop: one tick for all input of a loop turn, and one timer for the earliest deadline. */

import { NEVER, nextDeadline, runTick } from './tick.js'
import type { Millis, World } from './tick.js'

/** Returns the time of a monotonic clock, in milliseconds. */
export type Clock = () => Millis

/** The monotonic clock of this process. */
export const monotonicClock: Clock = () => performance.now()

/** Receives the inputs and outputs of every tick. */
export interface Recorder<In, Out> {
  record (now: Millis, inbox: readonly In[], outbox: readonly Out[]): void
}

const MAX_TIMER_DELAY_MS: Millis = 60_000

/** Queues input for a world and delivers its output. Idle while there is neither input nor a due deadline. */
export class Runner<Tables, In, Out> {
  #inbox: In[] = []
  #scheduled = false
  #timer: NodeJS.Timeout | undefined
  #stopped = false

  constructor (
    readonly world: World<Tables, In, Out>,
    readonly deliver: (row: Out) => void,
    readonly clock: Clock = monotonicClock,
    readonly recorder?: Recorder<In, Out>
  ) {}

  /** Queues a row. The tick runs after the I/O callbacks of this turn of the event loop, so that it takes all their rows. */
  push (row: In): void {
    this.#inbox.push(row)
    if (this.#scheduled || this.#stopped) return
    this.#scheduled = true
    setImmediate(this.#tick)
  }

  start (): void { this.#tick() }

  stop (): void {
    this.#stopped = true
    clearTimeout(this.#timer)
  }

  readonly #tick = (): void => {
    this.#scheduled = false
    if (this.#stopped) return
    const inbox = this.#inbox
    this.#inbox = []
    const now = this.clock()
    const outbox = runTick(this.world, now, inbox)
    this.recorder?.record(now, inbox, outbox)
    for (const row of outbox) this.deliver(row)
    this.#scheduleTimer()
  }

  #scheduleTimer (): void {
    clearTimeout(this.#timer)
    const deadline = nextDeadline(this.world)
    if (deadline === NEVER || this.#scheduled) return
    // A timer may fire up to 1 ms early. Rounding up avoids a tick before the deadline.
    const delayMs = Math.min(MAX_TIMER_DELAY_MS, Math.max(1, Math.ceil(deadline - this.clock())))
    this.#timer = setTimeout(this.#tick, delayMs)
  }
}

/** The signals of a host process, received from its first line of code on. */

/** Signals by which an operator stops a host. */
const stopSignals = ['SIGTERM', 'SIGINT', 'SIGQUIT'] as const
/** Signals that would end the process by default, and have no such meaning for a host. */
const harmlessSignals = ['SIGHUP', 'SIGUSR2', 'SIGIO', 'SIGALRM', 'SIGVTALRM', 'SIGPWR'] as const

/** A signal that a host handles. */
export type HostSignal = typeof stopSignals[number] | typeof harmlessSignals[number]

/** Returns whether a signal stops a host. */
export const isStopSignal = (signal: HostSignal): boolean => (stopSignals as readonly string[]).includes(signal)

const INSTANCE = Symbol.for('rhubarbseam.processSignals')
type Holder = { [INSTANCE]?: ProcessSignals }

/** Remembers the signals that arrive before a handler is set. */
export class ProcessSignals {
  #pending: HostSignal[] = []
  #handler: ((signal: HostSignal) => void) | null = null

  private constructor () {
    for (const signal of [...stopSignals, ...harmlessSignals]) process.on(signal, () => { this.#receive(signal) })
  }

  /** Returns the signals of this process. The first call installs the handlers; the launcher and the program share them. */
  static ofProcess (): ProcessSignals {
    const holder = globalThis as Holder
    holder[INSTANCE] ??= new ProcessSignals()
    return holder[INSTANCE]
  }

  /** Sets the handler, and passes on the signals that have arrived before. */
  handle (handler: (signal: HostSignal) => void): void {
    this.#handler = handler
    for (const signal of this.#pending.splice(0)) handler(signal)
  }

  #receive (signal: HostSignal): void {
    if (this.#handler === null) this.#pending.push(signal)
    else this.#handler(signal)
  }
}

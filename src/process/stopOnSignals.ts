/** Ends a process gracefully on the signals that ask for it. */

import { exitCodes } from './exitCodes.js'
import type { RunningProcess } from './runningProcess.js'

/** Stops once, whatever signals come, and exits; an error while stopping goes to the handler. */
export const stopOnSignals = (running: RunningProcess, onError: (error: unknown) => void): void => {
  let isStopping = false
  const stop = (): void => {
    if (isStopping) return
    isStopping = true
    running.stop().then(() => process.exit(exitCodes.success), onError)
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
}

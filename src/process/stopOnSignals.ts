/** Graceful shutdown on SIGTERM and SIGINT. */

import { exitCodes } from './exitCodes.js'
import type { RunningProcess } from './runningProcess.js'

/** Stops the process on the first signal, ignores later ones, and exits. Errors while stopping go to `onError`. */
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

/** The request to stop a host, which signals make at any time, also during its start. */

import { once } from 'node:events'
import { setImmediate } from 'node:timers/promises'
import { ProcessSignals, isStopSignal } from './processSignals.js'

/** The part of a log that the start of a process writes to. */
export interface StartLog { info (fields: object, message: string): void }

/** Acts on the signals of this process, also those that have arrived. Returns a signal that is aborted when the process has to stop. */
export const watchStopRequest = async (log: StartLog): Promise<AbortSignal> => {
  const request = new AbortController()
  ProcessSignals.ofProcess().handle(signal => {
    if (isStopSignal(signal)) request.abort()
    else if (signal === 'SIGHUP') log.info({ signal }, 'received SIGHUP; changed settings apply after a restart')
    else log.info({ signal }, 'ignored a signal')
  })
  // Node.js delivers the signals of the time before in the next iteration of the event loop.
  await setImmediate()
  return request.signal
}

/** Resolves when the process has to stop. */
export const stopRequested = async (request: AbortSignal): Promise<void> => {
  if (!request.aborted) await once(request, 'abort')
}

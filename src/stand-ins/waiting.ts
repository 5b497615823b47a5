/** Waiting in tests with real processes and sockets. They wait for conditions; the timeout only ends a run that hangs. */

export const WAIT_TIMEOUT_MS = 40_000
const POLL_INTERVAL_MS = 50

/** Waits for a time, in milliseconds. */
export const sleep = async (ms: number): Promise<void> => { await new Promise(resolve => setTimeout(resolve, ms)) }

/** Waits until a condition holds. Throws after the timeout. */
export const waitUntil = async (condition: string, isTrue: () => Promise<boolean> | boolean): Promise<void> => {
  const deadline = Date.now() + WAIT_TIMEOUT_MS
  while (!await isTrue()) {
    if (Date.now() > deadline) throw new Error(`timed out waiting until ${condition}`)
    await sleep(POLL_INTERVAL_MS)
  }
}

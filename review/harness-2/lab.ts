/** Common parts of the review cases: a small deployment of processes, its readiness, a record of what happened, and a raw caller. */

import { appendFileSync, writeFileSync } from 'node:fs'
import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'
import { deployedFlags } from '../../platform/stand-ins/deployedCommand.js'
import { CONTROL_PORT, ProviderFleet } from '../../platform/stand-ins/providerFleet.js'
import type { Machine, ProviderResponse } from '../../platform/stand-ins/providerFleet.js'

export const PROGRAM = 'target/rhubarbseam.cjs'
export const CALLER_PORT = 8_206
const POLL_INTERVAL_MS = 2
/** Second octets of loopback blocks that cases draw from. */
const FIRST_BLOCK = 20
const BLOCK_COUNT = 200

/** Exit codes of a case. */
export const HELD = 0
export const BROKEN = 1
export const NOT_RUN = 2

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Writes lines with the time since the start, in seconds, to `record.txt` of a case. */
export class CaseRecord {
  readonly #startedAt = performance.now()

  constructor (readonly file: string) { writeFileSync(file, '') }

  note (line: string): void {
    const seconds = ((performance.now() - this.#startedAt) / 1_000).toFixed(3)
    appendFileSync(this.file, `${seconds} ${line}\n`)
  }
}

export const pause = async (ms: number): Promise<void> => { await new Promise(resolve => setTimeout(resolve, ms)) }

export const isOk = (response: ProviderResponse): boolean => response.status === 200

const isFree = async (address: string): Promise<boolean> => await new Promise(resolve => {
  const probe = createServer()
  probe.once('error', () => { resolve(false) })
  probe.listen(CONTROL_PORT, address, () => { probe.close(() => { resolve(true) }) })
})

/** Creates a fleet on a block of loopback addresses that no other fleet uses. */
export const createFleet = async (zones?: Readonly<Record<string, string>>): Promise<ProviderFleet> => {
  for (let step = 0; step < BLOCK_COUNT; step += 1) {
    const block = `127.${FIRST_BLOCK + (process.pid + step) % BLOCK_COUNT}`
    if (await isFree(`${block}.0.1`)) return new ProviderFleet(block, PROGRAM, zones)
  }
  throw new Error('no block of loopback addresses is free')
}

/** Starts a machine for the first time with the command of the deploy file. */
export const startMachine = (fleet: ProviderFleet, kind: Machine['kind'], number: number, zone: string): Machine =>
  fleet.addMachine(kind, number, zone, deployedFlags(kind === 'core' ? 'control' : 'entry'))

/** Sends a configuration until it is acknowledged, and waits until all entry machines are ready. */
export const configure = async (fleet: ProviderFleet, entries: readonly Machine[], document: unknown): Promise<boolean> => {
  if (!await fleet.waitUntil(async () => isOk(await fleet.callControl('config.put', '', document)))) return false
  return await fleet.waitUntil(async () => {
    for (const entry of entries) {
      if (!isOk(await fleet.query(entry, 'ready'))) return false
    }
    return true
  })
}

/** A caller's connection, and what was read on it. */
export class RawCaller {
  received = ''
  hasEnded = false
  error: string | null = null
  readonly socket: Socket

  constructor (address: string, port = CALLER_PORT) {
    this.socket = connect(port, address)
    this.socket.setNoDelay(true)
    this.socket.on('data', (chunk: Buffer) => { this.received += chunk.toString('latin1') })
    this.socket.on('error', (error: NodeJS.ErrnoException) => { this.error = error.code ?? error.message })
    this.socket.on('close', () => { this.hasEnded = true })
  }

  write (bytes: string | Buffer): void { if (!this.socket.destroyed) this.socket.write(bytes) }

  /** Waits until a condition holds, the connection has closed, or the time is over. Returns whether it holds. */
  async waitFor (holds: () => boolean, ms: number): Promise<boolean> {
    const until = performance.now() + ms
    while (!holds()) {
      if (this.hasEnded || performance.now() > until) return holds()
      await pause(POLL_INTERVAL_MS)
    }
    return true
  }

  /** Whether one whole answer with a content length has been read. */
  get hasAnswer (): boolean {
    const headEnd = this.received.indexOf('\r\n\r\n')
    if (headEnd < 0) return false
    const length = /content-length: (\d+)/i.exec(this.received.slice(0, headEnd))?.[1] ?? '0'
    return this.received.length >= headEnd + 4 + Number(length)
  }

  /** Removes and returns what was read so far. */
  takeReceived (): string {
    const { received } = this
    this.received = ''
    return received
  }

  close (): void { this.socket.destroy() }
}

/** Returns the status of an answer; null without one. */
export const statusOf = (text: string): number | null => {
  const status = /^HTTP\/1\.1 (\d+)/.exec(text)?.[1]
  return status === undefined ? null : Number(status)
}

/** A case that still runs after this time ends as one that could not run. */
const MAX_CASE_MS = 115_000

/** Ends the processes of a fleet, by their ids, also when the case is asked to stop or takes too long. */
const endEarly = (record: CaseRecord, fleet: ProviderFleet, reason: string): void => {
  record.note(`the case could not run: ${reason}`)
  for (const { process: host } of fleet.machines) host?.signal('SIGKILL')
  process.exit(NOT_RUN)
}

/** Runs a case, stops its processes and ends this one with the exit code of the case. */
export const runCase = async (record: CaseRecord, fleet: ProviderFleet, run: () => Promise<number>): Promise<never> => {
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) process.once(signal, () => { endEarly(record, fleet, signal) })
  setTimeout(() => { endEarly(record, fleet, `it takes longer than ${MAX_CASE_MS} ms`) }, MAX_CASE_MS).unref()
  let code = NOT_RUN
  try {
    code = await run()
  } catch (error) {
    record.note(`the case could not run: ${error instanceof Error ? error.stack ?? error.message : String(error)}`)
  }
  await fleet.close()
  record.note(`exit code ${code}`)
  process.exit(code)
}

/** Runs one host as the program of a process, from its settings to its planned stop. */

import type { Address } from '../core/address.js'
import { InvariantViolation } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import { createLog } from '../observability/log.js'
import type { Log } from '../observability/log.js'
import { codeCacheState } from '../process/codeCache.js'
import { exitCodes } from '../process/exitCodes.js'
import { HostAddresses } from '../process/hostAddresses.js'
import { describeStartError } from '../process/runningProcess.js'
import type { RunningProcess, StartError } from '../process/runningProcess.js'
import { SecretFile } from '../process/secretFile.js'
import { StartWait } from '../process/startWait.js'
import { stopRequested, watchStopRequest } from '../process/stopRequest.js'

/** Time beyond that of a planned stop after which the addresses of an earlier process are free. */
const ADDRESS_WAIT_MARGIN_MS = 4_000

/** The settings that every host has. */
export interface HostSettings {
  readonly host: string
  readonly link: Address
  /** Time from the request to stop until the process is killed, in milliseconds. */
  readonly stopWithinMs: number
}

/** What a host has when it starts. */
export interface HostStart {
  readonly fleetKeys: SecretFile
  readonly addresses: HostAddresses
  /** Aborted when the process has to stop, which may be before the host has started. */
  readonly stopRequest: AbortSignal
  readonly log: Log
}

/** A program that runs one host. */
export interface HostProgram<Settings extends HostSettings> {
  readonly fleetKeyFile: string
  loadSettings (): Outcome<Settings, { readonly reason: string }>
  start (settings: Settings, start: HostStart): Promise<Outcome<RunningProcess, StartError>>
}

/** Ends the process for an error that nobody caught. */
const exitOnError = (log: Log) => (error: unknown): never => {
  log.fatal({ err: error }, 'unhandled error; exiting')
  return process.exit(error instanceof InvariantViolation ? exitCodes.invariantBroken : exitCodes.unhandledError)
}

const exitWithReason = (log: Log, reason: string, message: string, code: number): never => {
  log.fatal({ reason }, message)
  return process.exit(code)
}

const exitIfRequested = (log: Log, stopRequest: AbortSignal): void => {
  if (!stopRequest.aborted) return
  log.info('stopped during the start')
  process.exit(exitCodes.success)
}

const startHost = async <Settings extends HostSettings> (program: HostProgram<Settings>, settings: Settings, stopRequest: AbortSignal, log: Log): Promise<Outcome<RunningProcess, StartError>> => {
  const fleetKeys = await new StartWait(log, stopRequest).retry(() => SecretFile.open(program.fleetKeyFile), describeStartError)
  if (fleetKeys.tag === 'error') return fleetKeys
  const addresses = await HostAddresses.claim(settings.link, new StartWait(log, stopRequest, settings.stopWithinMs + ADDRESS_WAIT_MARGIN_MS))
  if (addresses.tag === 'error') return addresses
  return await program.start(settings, { fleetKeys: fleetKeys.value, addresses: addresses.value, stopRequest, log })
}

/** Runs a program until it is asked to stop or cannot start. */
export const runHostProgram = async <Settings extends HostSettings> (program: HostProgram<Settings>): Promise<never> => {
  let log = createLog('unknown', 'info')
  process.on('uncaughtException', error => exitOnError(log)(error))
  process.on('unhandledRejection', error => exitOnError(log)(error))
  const stopRequest = await watchStopRequest({ info: (fields, message) => { log.info(fields, message) } })
  const settings = await new StartWait(log, stopRequest).retry(() => program.loadSettings(), error => error.reason)
  exitIfRequested(log, stopRequest)
  if (settings.tag === 'error') return exitWithReason(log, settings.error.reason, 'invalid settings', exitCodes.settingsInvalid)
  log = createLog(settings.value.host, 'info')
  const started = await startHost(program, settings.value, stopRequest, log)
  if (started.tag === 'error') {
    exitIfRequested(log, stopRequest)
    return exitWithReason(log, describeStartError(started.error), 'process failed to start', exitCodes.cannotStart)
  }
  log.info({ codeCache: codeCacheState() }, 'process started')
  await stopRequested(stopRequest)
  await started.value.stop()
  return process.exit(exitCodes.success)
}

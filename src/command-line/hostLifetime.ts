/** The life of a host process: it waits for its settings, starts, and stops when a signal asks for it. */

import { InvariantViolation } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import type { Address } from '../core/address.js'
import { codeCacheState } from '../process/codeCache.js'
import { exitCodes } from '../process/exitCodes.js'
import { HostAddresses } from '../process/hostAddresses.js'
import { describeStartError } from '../process/runningProcess.js'
import type { RunningProcess, StartError } from '../process/runningProcess.js'
import { SecretFile } from '../process/secretFile.js'
import { StartWait } from '../process/startWait.js'
import { stopRequested, watchStopRequest } from '../process/stopRequest.js'
import { createLog } from '../observability/log.js'
import type { Log } from '../observability/log.js'

/** Time beyond that of a planned stop after which the addresses of an earlier process are free. */
const ADDRESS_WAIT_MARGIN_MS = 4_000

/** The settings that every host has. */
export interface HostSettings {
  readonly host: string
  readonly link: Address
  /** Time from the request to stop until the process is killed, in milliseconds. */
  readonly stopWithinMs: number
}

/** What a host starts from. */
export interface HostStart<Settings> {
  readonly settings: Settings
  readonly fleetKeys: SecretFile
  readonly addresses: HostAddresses
  readonly log: Log
}

/** A host program. */
export interface HostProgram<Settings extends HostSettings> {
  readonly fleetKeyFile: string
  loadSettings (): Outcome<Settings, { readonly reason: string }>
  start (options: HostStart<Settings>): Promise<Outcome<RunningProcess, StartError>>
}

let log: Log = createLog('unknown', 'info')

const exitOnError = (error: unknown): never => {
  log.fatal({ err: error }, 'unhandled error; exiting')
  return process.exit(error instanceof InvariantViolation ? exitCodes.invariantBroken : 1)
}

const exitIfRequested = (stopRequest: AbortSignal): void => {
  if (!stopRequest.aborted) return
  log.info('stopped during the start')
  process.exit(exitCodes.success)
}

const exitWithReason = (reason: string, message: string, code: number): never => {
  log.fatal({ reason }, message)
  return process.exit(code)
}

const startHost = async <Settings extends HostSettings>(program: HostProgram<Settings>, settings: Settings, wait: StartWait): Promise<Outcome<RunningProcess, StartError>> => {
  const fleetKeys = await wait.retry(() => SecretFile.open(program.fleetKeyFile), describeStartError)
  if (fleetKeys.tag === 'error') return fleetKeys
  const addressWait = new StartWait(wait.log, wait.stopRequest, settings.stopWithinMs + ADDRESS_WAIT_MARGIN_MS)
  const addresses = await HostAddresses.claim(settings.link, addressWait)
  if (addresses.tag === 'error') return addresses
  return await program.start({ settings, fleetKeys: fleetKeys.value, addresses: addresses.value, log })
}

/** Runs a host until it is asked to stop, and exits. */
export const runHostProgram = async <Settings extends HostSettings>(program: HostProgram<Settings>): Promise<void> => {
  process.on('uncaughtException', exitOnError)
  process.on('unhandledRejection', exitOnError)
  const startLog = { info: (fields: object, message: string): void => { log.info(fields, message) } }
  const stopRequest = await watchStopRequest(startLog)
  const wait = new StartWait(startLog, stopRequest)
  const settings = await wait.retry(() => program.loadSettings(), error => error.reason)
  exitIfRequested(stopRequest)
  if (settings.tag === 'error') return exitWithReason(settings.error.reason, 'invalid settings', exitCodes.settingsInvalid)
  log = createLog(settings.value.host, 'info')
  const started = await startHost(program, settings.value, wait)
  if (started.tag === 'error') {
    exitIfRequested(stopRequest)
    return exitWithReason(describeStartError(started.error), 'process failed to start', exitCodes.cannotStart)
  }
  log.info({ codeCache: codeCacheState() }, 'process started')
  await stopRequested(stopRequest)
  await started.value.stop()
  process.exit(exitCodes.success)
}

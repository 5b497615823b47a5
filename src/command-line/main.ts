/** The command-line interface of rhubarbseam. */

import { createHash, randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { cac } from 'cac'
import type { CAC } from 'cac'
import { request } from 'undici'
import { parse } from 'yaml'
import { InvariantViolation } from '../core/outcome.js'
import { createFoundingReplica, loadOperators, startControlProcess } from '../control/controlProcess.js'
import { loadClientBlocks, startEntryProcess } from '../entry/entryProcess.js'
import { loadExpectations, replayTrace, unmetExpectations } from '../replay/replayTrace.js'
import { describeSettingsError, loadSettings } from '../settings/loadSettings.js'
import type { Settings } from '../settings/settingsSchema.js'
import { createLog } from '../observability/log.js'
import { renderSettingsReference } from '../settings/settingsReference.js'
import { SecretFile } from '../process/secretFile.js'
import { exitCodes } from '../process/exitCodes.js'
import { callControl, describeCallError, readToken } from './operatorClient.js'
import type { CallTarget } from './operatorClient.js'
import { operatorCommands } from './operatorCommands.js'
import type { CommandOptions } from './operatorCommands.js'
import { describeLine, joinLogs } from './joinedLog.js'
import { renderEventReference } from '../journal/eventRegistry.js'
import { stopRequested, watchStopRequest } from '../process/stopRequest.js'
import { describeStartError } from '../process/runningProcess.js'
import { version } from './version.js'

const printLine = (line: string): void => { process.stdout.write(`${line}\n`) }

const exitWithError = (line: string, code: number): never => {
  process.stderr.write(`rhubarbseam: ${line}\n`)
  process.exit(code)
}

const requireSettings = (path: unknown): Settings => {
  if (typeof path !== 'string') return exitWithError('--config FILE is missing', exitCodes.wrongUse)
  const settings = loadSettings(path)
  if (settings.tag === 'ok') return settings.value
  for (const line of describeSettingsError(settings.error)) process.stderr.write(`${path}: ${line}\n`)
  return process.exit(exitCodes.settingsInvalid)
}

const runHost = async (options: CommandOptions): Promise<void> => {
  const settings = requireSettings(options.config)
  const log = createLog(settings.host, settings.log.level)
  const stopRequest = await watchStopRequest(log)
  const started = settings.role === 'entry' ? await startEntryProcess(settings, log, stopRequest) : await startControlProcess(settings, log, stopRequest)
  if (started.tag === 'error' && stopRequest.aborted) process.exit(exitCodes.success)
  if (started.tag === 'error') return exitWithError(describeStartError(started.error), exitCodes.cannotStart)
  await stopRequested(stopRequest)
  await started.value.stop()
  process.exit(exitCodes.success)
}

const checkSettings = (options: CommandOptions): void => {
  const settings = requireSettings(options.config)
  const problems: string[] = []
  const fleetKeys = SecretFile.open(settings.fleetKeyFile)
  if (fleetKeys.tag === 'error') problems.push(describeStartError(fleetKeys.error))
  if (settings.role === 'entry') {
    const tokens = SecretFile.open(settings.announcementKeyFile)
    if (tokens.tag === 'error') problems.push(describeStartError(tokens.error))
    const blocks = settings.clientBlocksFile === undefined ? null : loadClientBlocks(settings.clientBlocksFile)
    if (blocks?.tag === 'error') problems.push(describeStartError(blocks.error))
  } else {
    const operators = loadOperators(settings.operatorsFile)
    if (operators.tag === 'error') problems.push(describeStartError(operators.error))
  }
  for (const problem of problems) process.stderr.write(`${String(options.config)}: ${problem}\n`)
  if (problems.length > 0) process.exit(exitCodes.settingsInvalid)
  printLine(`${String(options.config)}: settings of ${settings.role} host ${settings.host} are valid`)
}

const foundGroup = async (options: CommandOptions): Promise<void> => {
  const settings = requireSettings(options.config)
  if (settings.role !== 'control') return exitWithError('only a control host has a replica to found', exitCodes.wrongUse)
  const outcome = await createFoundingReplica(settings)
  if (outcome.tag === 'error') return exitWithError(describeStartError(outcome.error), exitCodes.cannotStart)
  printLine(`created the initial replica of ${settings.host} in ${settings.dataFolder}`)
}

const requireTarget = (options: CommandOptions): CallTarget => {
  if (typeof options.control !== 'string') return exitWithError('--control HOST:PORT[,HOST:PORT] is missing', exitCodes.wrongUse)
  if (typeof options.tokenFile !== 'string') return exitWithError('--token-file FILE is missing', exitCodes.wrongUse)
  const token = readToken(options.tokenFile)
  if (token.tag === 'error') return exitWithError(describeCallError(token.error), exitCodes.wrongUse)
  return { controlAddresses: options.control.split(','), token: token.value }
}

const callOrExit = async (options: CommandOptions, method: 'GET' | 'POST', path: string, body: unknown, requestId: string): Promise<unknown> => {
  const outcome = await callControl(requireTarget(options), method, path, body, requestId)
  if (outcome.tag === 'ok') return outcome.value
  const code = outcome.error.kind === 'refused' ? exitCodes.refused : exitCodes.outcomeUnknown
  return exitWithError(describeCallError(outcome.error), code)
}

const requestIdOf = (options: CommandOptions): string =>
  typeof options.requestId === 'string' ? options.requestId : randomUUID()

const printJson = (options: CommandOptions, value: unknown): void => {
  if (options.json === true) printLine(JSON.stringify(value))
  else printLine(JSON.stringify(value, null, 2))
}

const applyFile = async (file: string, options: CommandOptions): Promise<void> => {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch {
    return exitWithError(`cannot read ${file}`, exitCodes.wrongUse)
  }
  const commands = parse(text) as unknown
  if (!Array.isArray(commands)) return exitWithError(`${file} must contain a list of commands`, exitCodes.wrongUse)
  const fileDigest = createHash('sha256').update(text).digest('hex').slice(0, 16)
  for (const [position, command] of commands.entries()) {
    // Request ids derive from the file, so an interrupted run can be repeated: commands that were already applied return their first outcome.
    await callOrExit(options, 'POST', '/v1/commands', command, `apply/${fileDigest}/${position}`)
  }
  printLine(`applied ${commands.length} commands`)
}

const printExplanation = async (subject: string | undefined, options: CommandOptions): Promise<void> => {
  if (typeof options.host !== 'string') return exitWithError('--host HOST:PORT is missing', exitCodes.wrongUse)
  const query = subject === undefined ? '' : `?subject=${encodeURIComponent(subject)}`
  try {
    const response = await request(`http://${options.host}/explain${query}`)
    printJson(options, await response.body.json())
  } catch {
    exitWithError(`no response from ${options.host}`, exitCodes.outcomeUnknown)
  }
}

const replayFile = (trace: string, options: CommandOptions): void => {
  const result = replayTrace(trace)
  if (result.tag === 'error') return exitWithError(JSON.stringify(result.error), exitCodes.wrongUse)
  const expectations = typeof options.expect === 'string' ? loadExpectations(options.expect) : null
  if (expectations?.tag === 'error') return exitWithError(JSON.stringify(expectations.error), exitCodes.wrongUse)
  const unmet = expectations === null ? [] : unmetExpectations(result.value, expectations.value)
  printJson(options, { ...result.value, unmet })
  if (unmet.length > 0 || result.value.firstDifference !== null) process.exit(exitCodes.refused)
}

const printJoinedLogs = (subject: string, files: readonly string[], options: CommandOptions): void => {
  if (files.length === 0) return exitWithError('log files are missing', exitCodes.wrongUse)
  const texts: string[] = []
  for (const file of files) {
    try {
      texts.push(readFileSync(file, 'utf8'))
    } catch {
      return exitWithError(`cannot read ${file}`, exitCodes.wrongUse)
    }
  }
  const lines = joinLogs(texts, subject)
  if (lines.length === 0) return exitWithError(`no log line has the subject ${subject}`, exitCodes.refused)
  for (const line of lines) printLine(options.json === true ? JSON.stringify(line) : describeLine(line))
}

const addOperatorOptions = (command: ReturnType<CAC['command']>): ReturnType<CAC['command']> => command
  .option('--control <addresses>', 'operator addresses of the control hosts, as HOST:PORT, comma-separated')
  .option('--token-file <file>', 'file with the token of the operator')
  .option('--request-id <id>', 'idempotency key; a resend with the same id returns the first outcome')
  .option('--json', 'print JSON on one line')

const defineOperatorCommands = (cli: CAC): void => {
  for (const definition of Object.values(operatorCommands)) {
    const command = addOperatorOptions(cli.command(definition.usage, definition.description))
    for (const [flag, description] of definition.options) command.option(flag, description)
    command.action(async (...parameters: unknown[]) => {
      const options = parameters.at(-1) as CommandOptions
      const body = definition.body(parameters.slice(0, -1).map(String), options)
      if (body.tag === 'error') exitWithError(body.error, exitCodes.wrongUse)
      else printJson(options, await callOrExit(options, 'POST', '/v1/commands', body.value, requestIdOf(options)))
    })
  }
}

const defineCli = (): CAC => {
  const cli = cac('rhubarbseam')
  cli.command('run', 'Run an entry host or a control host').option('--config <file>', 'settings file').action(runHost)
  cli.command('check', 'Validate settings and the files that they name').option('--config <file>', 'settings file').action(checkSettings)
  cli.command('found', 'Write the initial replica of a new control group to the data folder').option('--config <file>', 'settings file').action(foundGroup)
  cli.command('settings', 'Print the reference page of the settings').action(() => { printLine(renderSettingsReference()) })
  addOperatorOptions(cli.command('status', 'Print the leader, the members of the fleet, and the hosts on which the configuration is in force'))
    .action(async (options: CommandOptions) => { printJson(options, await callOrExit(options, 'GET', '/v1/status', undefined, '')) })
  addOperatorOptions(cli.command('configuration', 'Print the configuration'))
    .action(async (options: CommandOptions) => { printJson(options, await callOrExit(options, 'GET', '/v1/configuration', undefined, '')) })
  addOperatorOptions(cli.command('admit-replica <host>', 'Admit the replica of a host whose disk was lost'))
    .action(async (host: string, options: CommandOptions) => { printJson(options, await callOrExit(options, 'POST', '/v1/replicas', { host }, requestIdOf(options))) })
  addOperatorOptions(cli.command('apply <file>', 'Run the commands of a YAML file in order')).action(applyFile)
  cli.command('explain [subject]', 'Print the journal events about a request, backend server or host; without a subject, the latest events')
    .option('--host <address>', 'metrics address of the entry host, as HOST:PORT')
    .option('--json', 'print JSON on one line')
    .action(printExplanation)
  cli.command('logs <subject> [...files]', 'Join the lines about one request from the logs of several processes')
    .option('--json', 'print each line as JSON')
    .action(printJoinedLogs)
  cli.command('events', 'Print the reference page of the events in the log').action(() => { printLine(renderEventReference()) })
  cli.command('replay <trace>', 'Replay a recorded trace and compare the output')
    .option('--expect <file>', 'YAML file of expected outcomes')
    .option('--json', 'print JSON on one line')
    .action(replayFile)
  defineOperatorCommands(cli)
  cli.help()
  cli.version(version)
  return cli
}

const exitOnError = (error: unknown): never => {
  const code = error instanceof InvariantViolation ? exitCodes.invariantBroken : 1
  return exitWithError(error instanceof Error ? error.stack ?? error.message : String(error), code)
}

/** Runs the command line with the arguments of the process. */
export const main = async (argv: readonly string[]): Promise<void> => {
  process.on('uncaughtException', exitOnError)
  process.on('unhandledRejection', exitOnError)
  const cli = defineCli()
  try {
    cli.parse([...argv], { run: false })
    if (cli.matchedCommand === undefined && cli.options.help !== true && cli.options.version !== true) {
      return exitWithError(`${cli.args[0] === undefined ? 'a command is missing' : `no command ${cli.args[0]}`}; see --help`, exitCodes.wrongUse)
    }
    await cli.runMatchedCommand()
  } catch (error) {
    if (error instanceof Error && error.name === 'CACError') return exitWithError(error.message, exitCodes.wrongUse)
    exitOnError(error)
  }
}

/** The command line of rhubarbseam. */

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
import { renderSettingsReference } from '../settings/settingsReference.js'
import { SecretFile } from '../process/secretFile.js'
import { exitCodes } from '../process/exitCodes.js'
import { callControl, describeCallError, readToken } from './operatorClient.js'
import type { CallTarget } from './operatorClient.js'
import { operatorCommands } from './operatorCommands.js'
import type { CommandOptions } from './operatorCommands.js'
import { describeLine, joinLogs } from './joinedLog.js'
import { renderEventReference } from '../journal/eventRegistry.js'
import { stopOnSignals } from '../process/stopOnSignals.js'
import { describeStartError } from '../process/runningProcess.js'
import { version } from './version.js'

const say = (line: string): void => { process.stdout.write(`${line}\n`) }

const complain = (line: string, code: number): never => {
  process.stderr.write(`rhubarbseam: ${line}\n`)
  process.exit(code)
}

const requireSettings = (path: unknown): Settings => {
  if (typeof path !== 'string') return complain('--config FILE is missing', exitCodes.wrongUse)
  const settings = loadSettings(path)
  if (settings.tag === 'ok') return settings.value
  for (const line of describeSettingsError(settings.error)) process.stderr.write(`${path}: ${line}\n`)
  return process.exit(exitCodes.settingsInvalid)
}

const run = async (options: CommandOptions): Promise<void> => {
  const settings = requireSettings(options.config)
  const started = settings.role === 'entry' ? await startEntryProcess(settings) : await startControlProcess(settings)
  if (started.tag === 'error') return complain(describeStartError(started.error), exitCodes.cannotStart)
  stopOnSignals(started.value, fatal)
}

const check = (options: CommandOptions): void => {
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
  say(`${String(options.config)}: settings of ${settings.role} host ${settings.host} are good`)
}

const found = (options: CommandOptions): void => {
  const settings = requireSettings(options.config)
  if (settings.role !== 'control') return complain('only a control host has a replica to found', exitCodes.wrongUse)
  const outcome = createFoundingReplica(settings)
  if (outcome.tag === 'error') return complain(describeStartError(outcome.error), exitCodes.cannotStart)
  say(`founded ${settings.host} in ${settings.dataFolder}`)
}

const targetOf = (options: CommandOptions): CallTarget => {
  if (typeof options.control !== 'string') return complain('--control HOST:PORT[,HOST:PORT] is missing', exitCodes.wrongUse)
  if (typeof options.tokenFile !== 'string') return complain('--token-file FILE is missing', exitCodes.wrongUse)
  const token = readToken(options.tokenFile)
  if (token.tag === 'error') return complain(describeCallError(token.error), exitCodes.wrongUse)
  return { controlAddresses: options.control.split(','), token: token.value }
}

const call = async (options: CommandOptions, method: 'GET' | 'POST', path: string, body: unknown, requestId: string): Promise<unknown> => {
  const answer = await callControl(targetOf(options), method, path, body, requestId)
  if (answer.tag === 'ok') return answer.value
  const code = answer.error.kind === 'refused' ? exitCodes.refused : exitCodes.outcomeUnknown
  return complain(describeCallError(answer.error), code)
}

const requestIdOf = (options: CommandOptions): string =>
  typeof options.requestId === 'string' ? options.requestId : randomUUID()

const print = (options: CommandOptions, value: unknown): void => {
  if (options.json === true) say(JSON.stringify(value))
  else say(JSON.stringify(value, null, 2))
}

const apply = async (file: string, options: CommandOptions): Promise<void> => {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch {
    return complain(`cannot read ${file}`, exitCodes.wrongUse)
  }
  const commands = parse(text) as unknown
  if (!Array.isArray(commands)) return complain(`${file} must hold a list of commands`, exitCodes.wrongUse)
  const mark = createHash('sha256').update(text).digest('hex').slice(0, 16)
  for (const [position, command] of commands.entries()) {
    // The same file applied again gets the first outcomes, so a run that was cut off can be repeated.
    await call(options, 'POST', '/v1/commands', command, `apply/${mark}/${position}`)
  }
  say(`${commands.length} commands are in force`)
}

const explain = async (subject: string | undefined, options: CommandOptions): Promise<void> => {
  if (typeof options.host !== 'string') return complain('--host HOST:PORT is missing', exitCodes.wrongUse)
  const query = subject === undefined ? '' : `?subject=${encodeURIComponent(subject)}`
  try {
    const answer = await request(`http://${options.host}/explain${query}`)
    print(options, await answer.body.json())
  } catch {
    complain(`no answer from ${options.host}`, exitCodes.outcomeUnknown)
  }
}

const replay = (trace: string, options: CommandOptions): void => {
  const result = replayTrace(trace)
  if (result.tag === 'error') return complain(JSON.stringify(result.error), exitCodes.wrongUse)
  const expectations = typeof options.expect === 'string' ? loadExpectations(options.expect) : null
  if (expectations?.tag === 'error') return complain(JSON.stringify(expectations.error), exitCodes.wrongUse)
  const unmet = expectations === null ? [] : unmetExpectations(result.value, expectations.value)
  print(options, { ...result.value, unmet })
  if (unmet.length > 0 || result.value.firstDifference !== null) process.exit(exitCodes.refused)
}

const joinFiles = (subject: string, files: readonly string[], options: CommandOptions): void => {
  if (files.length === 0) return complain('files with logs are missing', exitCodes.wrongUse)
  const texts: string[] = []
  for (const file of files) {
    try {
      texts.push(readFileSync(file, 'utf8'))
    } catch {
      return complain(`cannot read ${file}`, exitCodes.wrongUse)
    }
  }
  const lines = joinLogs(texts, subject)
  if (lines.length === 0) return complain(`no line names ${subject}`, exitCodes.refused)
  for (const line of lines) say(options.json === true ? JSON.stringify(line) : describeLine(line))
}

const addOperatorOptions = (command: ReturnType<CAC['command']>): ReturnType<CAC['command']> => command
  .option('--control <addresses>', 'operators\' addresses of the control hosts, separated by commas')
  .option('--token-file <file>', 'file with the operator\'s token')
  .option('--request-id <id>', 'a resend with the same id returns the first outcome')
  .option('--json', 'answer on one line')

const defineOperatorCommands = (cli: CAC): void => {
  for (const definition of Object.values(operatorCommands)) {
    const command = addOperatorOptions(cli.command(definition.usage, definition.description))
    for (const [flag, description] of definition.options) command.option(flag, description)
    command.action(async (...parameters: unknown[]) => {
      const options = parameters.at(-1) as CommandOptions
      const body = definition.body(parameters.slice(0, -1).map(String), options)
      if (body.tag === 'error') complain(body.error, exitCodes.wrongUse)
      else print(options, await call(options, 'POST', '/v1/commands', body.value, requestIdOf(options)))
    })
  }
}

const defineCli = (): CAC => {
  const cli = cac('rhubarbseam')
  cli.command('run', 'Run the process that the settings describe').option('--config <file>', 'settings').action(run)
  cli.command('check', 'Check settings and the files that they name').option('--config <file>', 'settings').action(check)
  cli.command('found', 'Write the first replica of a new group into the data folder').option('--config <file>', 'settings').action(found)
  cli.command('settings', 'Print the reference page of the settings').action(() => { say(renderSettingsReference()) })
  addOperatorOptions(cli.command('status', 'Tell who leads, who is there, and where the configuration is in force'))
    .action(async (options: CommandOptions) => { print(options, await call(options, 'GET', '/v1/status', undefined, '')) })
  addOperatorOptions(cli.command('configuration', 'Print the configuration'))
    .action(async (options: CommandOptions) => { print(options, await call(options, 'GET', '/v1/configuration', undefined, '')) })
  addOperatorOptions(cli.command('admit-replica <host>', 'Admit the replica of a host whose disk was lost'))
    .action(async (host: string, options: CommandOptions) => { print(options, await call(options, 'POST', '/v1/replicas', { host }, requestIdOf(options))) })
  addOperatorOptions(cli.command('apply <file>', 'Give the commands of a YAML file in order')).action(apply)
  cli.command('explain [subject]', 'Tell what was decided about an exchange, a backend server or, without a subject, of late')
    .option('--host <address>', 'metrics address of the entry host that decided')
    .option('--json', 'answer on one line')
    .action(explain)
  cli.command('logs <subject> [...files]', 'Join the logs of several processes around one request')
    .option('--json', 'each line as JSON')
    .action(joinFiles)
  cli.command('events', 'Print the reference page of the events in the log').action(() => { say(renderEventReference()) })
  cli.command('replay <trace>', 'Run a recorded trace through the same systems')
    .option('--expect <file>', 'YAML file of stated outcomes')
    .option('--json', 'answer on one line')
    .action(replay)
  defineOperatorCommands(cli)
  cli.help()
  cli.version(version)
  return cli
}

const fatal = (error: unknown): never => {
  const code = error instanceof InvariantViolation ? exitCodes.invariantBroken : 1
  return complain(error instanceof Error ? error.stack ?? error.message : String(error), code)
}

/** Runs the command line. */
export const main = async (argv: readonly string[]): Promise<void> => {
  process.on('uncaughtException', fatal)
  process.on('unhandledRejection', fatal)
  const cli = defineCli()
  try {
    cli.parse([...argv], { run: false })
    if (cli.matchedCommand === undefined && cli.options.help !== true && cli.options.version !== true) {
      return complain(`${cli.args[0] === undefined ? 'a command is missing' : `no command ${cli.args[0]}`}; see --help`, exitCodes.wrongUse)
    }
    await cli.runMatchedCommand()
  } catch (error) {
    if (error instanceof Error && error.name === 'CACError') return complain(error.message, exitCodes.wrongUse)
    fatal(error)
  }
}

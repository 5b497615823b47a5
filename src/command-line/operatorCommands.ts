/** The operators' commands: one small definition for each, behind one typed interface. */

import { createHash } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { parse } from 'yaml'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'

/** Options as the command line gives them. */
export type CommandOptions = Readonly<Record<string, string | number | boolean | undefined>>

/** One command of an operator. */
export interface OperatorCommand {
  readonly usage: string
  readonly description: string
  readonly options: ReadonlyArray<readonly [flag: string, description: string]>
  /** The body of `POST /v1/commands`, or what is wrong with the use. */
  body (args: readonly string[], options: CommandOptions): Outcome<unknown, string>
}

const versionOption = ['--expect <version>', 'version that the entity must have now (0: does not exist)'] as const

const numberOf = (options: CommandOptions, name: string): Outcome<number, string> => {
  const value = options[name]
  if (value === undefined || value === '' || !Number.isFinite(Number(value))) return fail(`--${name} needs a number`)
  return ok(Number(value))
}

/** SHA-256 of the key in a file, in hex: keys themselves never travel. */
export const digestKeyFile = (path: unknown): Outcome<string, string> => {
  if (typeof path !== 'string') return fail('--key-file needs a file')
  try {
    return ok(createHash('sha256').update(readFileSync(path, 'utf8').trim()).digest('hex'))
  } catch {
    return fail(`cannot read ${path}`)
  }
}

const readYaml = (path: string): Outcome<unknown, string> => {
  try {
    return ok(parse(readFileSync(path, 'utf8')) as unknown)
  } catch (error) {
    return fail(`cannot read ${path}: ${error instanceof Error ? error.message : 'unreadable'}`)
  }
}

const withNumbers = (options: CommandOptions, names: readonly string[], build: (numbers: Record<string, number>) => unknown): Outcome<unknown, string> => {
  const numbers: Record<string, number> = {}
  for (const name of names) {
    const number = numberOf(options, name)
    if (number.tag === 'error') return number
    numbers[name] = number.value
  }
  return ok(build(numbers))
}

const keyCommand = (kind: 'give-key' | 'withdraw-key') => (args: readonly string[], options: CommandOptions): Outcome<unknown, string> => {
  const digest = digestKeyFile(options.keyFile)
  if (digest.tag === 'error') return digest
  return ok(kind === 'give-key' ? { kind, digest: digest.value, workspace: args[0] } : { kind, digest: digest.value })
}

const keyOption = ['--key-file <file>', 'file with the key'] as const

/** Every operators' command by name. */
export const operatorCommands: Readonly<Record<string, OperatorCommand>> = {
  'draft-profile': {
    usage: 'draft-profile <profile> <termsFile>',
    description: 'Draft the next version of a steering profile from a YAML file of terms',
    options: [versionOption],
    body: (args, options) => {
      const terms = readYaml(args[1] ?? '')
      if (terms.tag === 'error') return terms
      return withNumbers(options, ['expect'], ({ expect }) => ({ kind: 'draft-profile', profile: args[0], expectedVersion: expect, terms: terms.value }))
    }
  },
  'approve-profile': {
    usage: 'approve-profile <profile> <version>',
    description: 'Approve one version of a steering profile, for good; nobody approves their own draft',
    options: [],
    body: args => ok({ kind: 'approve-profile', profile: args[0], version: Number(args[1]) })
  },
  'put-service': {
    usage: 'put-service <service>',
    description: 'Create a service or assign it another approved profile',
    options: [versionOption, ['--profile <name>', 'approved profile'], ['--profile-version <version>', 'its version'], ['--timeout <ms>', 'default deadline of a request'], ['--open <paths>', 'paths that need no key, separated by commas']],
    body: (args, options) => withNumbers(options, ['expect', 'profileVersion', 'timeout'], numbers => ({
      kind: 'put-service',
      service: args[0],
      expectedVersion: numbers.expect,
      profile: options.profile,
      profileVersion: numbers.profileVersion,
      timeoutMs: numbers.timeout,
      openPaths: typeof options.open === 'string' ? options.open.split(',') : []
    }))
  },
  'put-workspace': {
    usage: 'put-workspace <workspace>',
    description: 'Create a workspace or change its rate, burst and weight',
    options: [versionOption, ['--rate <number>', 'requests a second over the whole fleet'], ['--burst <number>', 'requests at once over the whole fleet'], ['--weight <number>', 'share under scarcity']],
    body: (args, options) => withNumbers(options, ['expect', 'rate', 'burst', 'weight'], ({ expect, rate, burst, weight }) => ({ kind: 'put-workspace', workspace: args[0], expectedVersion: expect, rate, burst, weight }))
  },
  'give-key': { usage: 'give-key <workspace>', description: 'Give a workspace a key', options: [keyOption], body: keyCommand('give-key') },
  'withdraw-key': { usage: 'withdraw-key', description: 'Withdraw a key, for good', options: [keyOption], body: keyCommand('withdraw-key') },
  'start-drain': {
    usage: 'start-drain <service> <backend>',
    description: 'Give a backend server no new work',
    options: [],
    body: args => ok({ kind: 'start-drain', service: args[0], backend: args[1] })
  },
  'end-drain': {
    usage: 'end-drain <service> <backend>',
    description: 'Give a drained backend server work again',
    options: [],
    body: args => ok({ kind: 'end-drain', service: args[0], backend: args[1] })
  },
  'register-host': {
    usage: 'register-host <host>',
    description: 'Register an entry host with its part of every allowance',
    options: [['--region <name>', 'its region'], ['--zone <name>', 'its availability zone'], ['--site <name>', 'its site; the zone when absent'], ['--parts <number>', 'parts of 10000']],
    body: (args, options) => withNumbers(options, ['parts'], ({ parts }) => ({
      kind: 'register-host',
      entryHost: { host: args[0], region: options.region, zone: options.zone, site: options.site ?? options.zone, parts }
    }))
  },
  'remove-host': {
    usage: 'remove-host <host>',
    description: 'Free the allowance parts of an entry host that has stopped for good',
    options: [],
    body: args => ok({ kind: 'remove-host', host: args[0] })
  }
}

/** Definitions of the operators' commands: usage, flags and request body of each. */

import { createHash } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { parse } from 'yaml'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'

/** Parsed command-line options. */
export type CommandOptions = Readonly<Record<string, string | number | boolean | undefined>>

/** The definition of an operator's command. */
export interface OperatorCommand {
  readonly usage: string
  readonly description: string
  readonly options: ReadonlyArray<readonly [flag: string, description: string]>
  /** Returns the body of `POST /v1/commands`, or a usage error. */
  body (args: readonly string[], options: CommandOptions): Outcome<unknown, string>
}

const versionOption = ['--expect <version>', 'current version of the entity; 0 if it does not exist yet'] as const

const parseNumber = (options: CommandOptions, name: string): Outcome<number, string> => {
  const value = options[name]
  if (value === undefined || value === '' || !Number.isFinite(Number(value))) return fail(`--${name} needs a number`)
  return ok(Number(value))
}

/** Returns the SHA-256 digest of the key in a file, in hex. Keys are never sent. */
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

const parseNumbers = (options: CommandOptions, names: readonly string[], build: (numbers: Record<string, number>) => unknown): Outcome<unknown, string> => {
  const numbers: Record<string, number> = {}
  for (const name of names) {
    const number = parseNumber(options, name)
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

/** The operators' commands by name. */
export const operatorCommands: Readonly<Record<string, OperatorCommand>> = {
  'draft-profile': {
    usage: 'draft-profile <profile> <termsFile>',
    description: 'Create a draft of the next version of a steering profile from a YAML file of terms',
    options: [versionOption],
    body: (args, options) => {
      const terms = readYaml(args[1] ?? '')
      if (terms.tag === 'error') return terms
      return parseNumbers(options, ['expect'], ({ expect }) => ({ kind: 'draft-profile', profile: args[0], expectedVersion: expect, terms: terms.value }))
    }
  },
  'approve-profile': {
    usage: 'approve-profile <profile> <version>',
    description: 'Approve a version of a steering profile, permanently; operators cannot approve their own drafts',
    options: [],
    body: args => ok({ kind: 'approve-profile', profile: args[0], version: Number(args[1]) })
  },
  'put-service': {
    usage: 'put-service <service>',
    description: 'Create a service or assign another approved profile to it',
    options: [versionOption, ['--profile <name>', 'approved profile'], ['--profile-version <version>', 'version of the profile'], ['--timeout <ms>', 'default timeout of a request, in milliseconds'], ['--open <paths>', 'paths that need no key, comma-separated']],
    body: (args, options) => parseNumbers(options, ['expect', 'profileVersion', 'timeout'], numbers => ({
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
    options: [versionOption, ['--rate <number>', 'requests per second, over the whole fleet'], ['--burst <number>', 'maximum burst of requests, over the whole fleet'], ['--weight <number>', 'relative share when capacity is short']],
    body: (args, options) => parseNumbers(options, ['expect', 'rate', 'burst', 'weight'], ({ expect, rate, burst, weight }) => ({ kind: 'put-workspace', workspace: args[0], expectedVersion: expect, rate, burst, weight }))
  },
  'give-key': { usage: 'give-key <workspace>', description: 'Add a key to a workspace', options: [keyOption], body: keyCommand('give-key') },
  'withdraw-key': { usage: 'withdraw-key', description: 'Withdraw a key, permanently', options: [keyOption], body: keyCommand('withdraw-key') },
  'start-drain': {
    usage: 'start-drain <service> <backend>',
    description: 'Stop sending new requests to a backend server',
    options: [],
    body: args => ok({ kind: 'start-drain', service: args[0], backend: args[1] })
  },
  'end-drain': {
    usage: 'end-drain <service> <backend>',
    description: 'Send new requests to a drained backend server again',
    options: [],
    body: args => ok({ kind: 'end-drain', service: args[0], backend: args[1] })
  },
  'register-host': {
    usage: 'register-host <host>',
    description: 'Register an entry host with its share of every allowance',
    options: [['--region <name>', 'region of the host'], ['--zone <name>', 'availability zone of the host'], ['--site <name>', 'site of the host; defaults to the zone'], ['--parts <number>', 'share of every allowance, in parts of 10000']],
    body: (args, options) => parseNumbers(options, ['parts'], ({ parts }) => ({
      kind: 'register-host',
      entryHost: { host: args[0], region: options.region, zone: options.zone, site: options.site ?? options.zone, parts }
    }))
  },
  'remove-host': {
    usage: 'remove-host <host>',
    description: 'Release the allowance parts of an entry host that was permanently stopped',
    options: [],
    body: args => ok({ kind: 'remove-host', host: args[0] })
  }
}

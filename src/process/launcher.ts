/** Starts the program with the V8 code cache that the build made for its role, which saves compilation time at the start. */

import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { dirname, join } from 'node:path'
import { setFlagsFromString } from 'node:v8'
import { Script } from 'node:vm'
import { CODE_CACHE_ARGUMENT } from './codeCache.js'
import type { CodeCacheState } from './codeCache.js'
import { ProcessSignals } from './processSignals.js'

const PROGRAM_FILE = join(__dirname, 'program.cjs')
const CACHE_COMMAND = 'make-code-cache'

// V8 accepts a code cache only for the same source text, which includes this wrapper.
const wrapProgram = (): string => `(function (exports, require, module, __filename, __dirname) {${readFileSync(PROGRAM_FILE, 'utf8')}\n})`

const readCache = (role: string | undefined): Buffer | undefined => {
  if (role === undefined) return undefined
  try {
    return readFileSync(join(__dirname, `${role}.cache`))
  } catch {
    return undefined
  }
}

// Compiles all functions, also those that do not run at the start. V8 rejects a cache that was made under other flags, so the default is
// restored before the cache is created.
const makeCache = (file: string): void => {
  setFlagsFromString('--no-lazy')
  const script = new Script(wrapProgram(), { filename: PROGRAM_FILE })
  setFlagsFromString('--lazy')
  writeFileSync(file, script.createCachedData())
}

const launch = (role: string | undefined): void => {
  ProcessSignals.ofProcess()
  const cachedData = readCache(role)
  const script = new Script(wrapProgram(), { filename: PROGRAM_FILE, cachedData })
  const state: CodeCacheState = cachedData === undefined ? 'absent' : script.cachedDataRejected === true ? 'rejected' : 'used'
  process.argv.push(`${CODE_CACHE_ARGUMENT}${state}`)
  const module = { exports: {} }
  const program = script.runInThisContext() as (...args: unknown[]) => void
  program.call(module.exports, module.exports, createRequire(PROGRAM_FILE), module, PROGRAM_FILE, dirname(PROGRAM_FILE))
}

const [command, file] = process.argv.slice(2)
if (command === CACHE_COMMAND && file !== undefined) makeCache(file)
else launch(command)

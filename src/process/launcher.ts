/** Starts the program from the code cache that the build made for its role, so that a start costs little processor time. */

import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { dirname, join } from 'node:path'
import { setFlagsFromString } from 'node:v8'
import { Script } from 'node:vm'
import { CODE_CACHE_ARGUMENT } from './codeCache.js'
import type { CodeCacheState } from './codeCache.js'

const PROGRAM = join(__dirname, 'program.cjs')
const CACHE_VERB = 'make-code-cache'

// The compiled code is good for this text alone, so the wrapper is part of it.
const wrapped = (): string => `(function (exports, require, module, __filename, __dirname) {${readFileSync(PROGRAM, 'utf8')}\n})`

const readCache = (role: string | undefined): Buffer | undefined => {
  if (role === undefined) return undefined
  try {
    return readFileSync(join(__dirname, `${role}.cache`))
  } catch {
    return undefined
  }
}

// The engine takes a cache only from a process with the same flags; functions are compiled whether they run at the start or not.
const makeCache = (file: string): void => {
  setFlagsFromString('--no-lazy')
  const script = new Script(wrapped(), { filename: PROGRAM })
  setFlagsFromString('--lazy')
  writeFileSync(file, script.createCachedData())
}

const launch = (role: string | undefined): void => {
  const cachedData = readCache(role)
  const script = new Script(wrapped(), { filename: PROGRAM, cachedData })
  const state: CodeCacheState = cachedData === undefined ? 'absent' : script.cachedDataRejected === true ? 'rejected' : 'used'
  process.argv.push(`${CODE_CACHE_ARGUMENT}${state}`)
  const module = { exports: {} }
  const program = script.runInThisContext() as (...parts: unknown[]) => void
  program.call(module.exports, module.exports, createRequire(PROGRAM), module, PROGRAM, dirname(PROGRAM))
}

const [verb, file] = process.argv.slice(2)
if (verb === CACHE_VERB && file !== undefined) makeCache(file)
else launch(verb)

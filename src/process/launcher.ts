/** Starts the program with the V8 code cache that the build made for its role, which saves compilation time at the start. */

import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { dirname, join } from 'node:path'
import { setFlagsFromString } from 'node:v8'
import { Script } from 'node:vm'
import { crc32 } from 'node:zlib'
import { CODE_CACHE_ARGUMENT } from './codeCache.js'
import type { CodeCacheState } from './codeCache.js'
import { ProcessSignals } from './processSignals.js'

const PROGRAM_FILE = join(__dirname, 'program.cjs')
const CACHE_COMMAND = 'make-code-cache'
const CHECKSUM_BYTES = 4

// V8 accepts a code cache only for the same source text, which includes this wrapper.
const wrapProgram = (): string => `(function (exports, require, module, __filename, __dirname) {${readFileSync(PROGRAM_FILE, 'utf8')}\n})`

// V8 trusts the content of a cache that has the length of its source, so a damaged one could end the process.
const checksum = (program: string, data: Uint8Array): number => crc32(data, crc32(program))

const encodeCache = (program: string, data: Uint8Array): Buffer => {
  const head = Buffer.alloc(CHECKSUM_BYTES)
  head.writeUInt32LE(checksum(program, data))
  return Buffer.concat([head, data])
}

// Returns null if the cache is damaged, or of another program.
const decodeCache = (program: string, file: Buffer): Buffer | null => {
  if (file.length < CHECKSUM_BYTES) return null
  const data = file.subarray(CHECKSUM_BYTES)
  return file.readUInt32LE() === checksum(program, data) ? data : null
}

const readCacheFile = (role: string | undefined): Buffer | null => {
  if (role === undefined) return null
  try {
    return readFileSync(join(__dirname, `${role}.cache`))
  } catch {
    return null
  }
}

// Compiles all functions, also those that do not run at the start. V8 rejects a cache that was made under other flags, so the default is
// restored before the cache is created.
const makeCache = (file: string): void => {
  const program = wrapProgram()
  setFlagsFromString('--no-lazy')
  const script = new Script(program, { filename: PROGRAM_FILE })
  setFlagsFromString('--lazy')
  writeFileSync(file, encodeCache(program, script.createCachedData()))
}

const launch = (role: string | undefined): void => {
  ProcessSignals.ofProcess()
  const program = wrapProgram()
  const file = readCacheFile(role)
  const cachedData = file === null ? null : decodeCache(program, file)
  const script = new Script(program, { filename: PROGRAM_FILE, cachedData: cachedData ?? undefined })
  const isUsed = cachedData !== null && script.cachedDataRejected !== true
  const state: CodeCacheState = file === null ? 'absent' : isUsed ? 'used' : 'rejected'
  process.argv.push(`${CODE_CACHE_ARGUMENT}${state}`)
  const module = { exports: {} }
  const run = script.runInThisContext() as (...args: unknown[]) => void
  run.call(module.exports, module.exports, createRequire(PROGRAM_FILE), module, PROGRAM_FILE, dirname(PROGRAM_FILE))
}

const [command, file] = process.argv.slice(2)
if (command === CACHE_COMMAND && file !== undefined) makeCache(file)
else launch(command)

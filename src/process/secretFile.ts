/** Files with secrets, one a line, read again when they change so that keys are changed without a restart. */

import { readFileSync, statSync } from 'node:fs'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'

/** Why a file of secrets cannot be used. */
export type SecretFileError =
  | { readonly kind: 'secret-unreadable', readonly path: string, readonly reason: string }
  | { readonly kind: 'secret-too-short', readonly path: string, readonly least: number }

const LEAST_LENGTH = 16
const RECHECK_MS = 1_000

const readLines = (path: string): Outcome<readonly string[], SecretFileError> => {
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    return fail({ kind: 'secret-unreadable', path, reason: error instanceof Error ? error.message : 'unreadable' })
  }
  const lines = text.split('\n').map(line => line.trim()).filter(line => line !== '')
  const isLongEnough = lines.length > 0 && lines.every(line => line.length >= LEAST_LENGTH)
  return isLongEnough ? ok(lines) : fail({ kind: 'secret-too-short', path, least: LEAST_LENGTH })
}

/** The lines of a file, kept fresh; a file that becomes unreadable leaves the last good lines in use. */
export class SecretFile {
  #lines: readonly string[]
  #modified: number
  #checkedAt = performance.now()

  private constructor (readonly path: string, lines: readonly string[]) {
    this.#lines = lines
    this.#modified = statSync(path).mtimeMs
  }

  static open (path: string): Outcome<SecretFile, SecretFileError> {
    const lines = readLines(path)
    return lines.tag === 'ok' ? ok(new SecretFile(path, lines.value)) : lines
  }

  lines (): readonly string[] {
    if (performance.now() - this.#checkedAt >= RECHECK_MS) this.#refresh()
    return this.#lines
  }

  buffers (): readonly Buffer[] { return this.lines().map(line => Buffer.from(line)) }

  #refresh (): void {
    this.#checkedAt = performance.now()
    try {
      const modified = statSync(this.path).mtimeMs
      if (modified === this.#modified) return
      this.#modified = modified
    } catch {
      return
    }
    const lines = readLines(this.path)
    if (lines.tag === 'ok') this.#lines = lines.value
  }
}

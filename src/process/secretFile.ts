/** Files of secrets, one per line. They are reloaded when they change, so that keys can be rotated without a restart. */

import { readFileSync, statSync } from 'node:fs'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'

/** The reason why a file of secrets cannot be used. */
export type SecretFileError =
  | { readonly kind: 'secret-unreadable', readonly path: string, readonly reason: string }
  | { readonly kind: 'secret-too-short', readonly path: string, readonly minLength: number }

const MIN_SECRET_LENGTH = 16
const RECHECK_INTERVAL_MS = 1_000

const readLines = (path: string): Outcome<readonly string[], SecretFileError> => {
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    return fail({ kind: 'secret-unreadable', path, reason: error instanceof Error ? error.message : 'unreadable' })
  }
  const lines = text.split('\n').map(line => line.trim()).filter(line => line !== '')
  const isLongEnough = lines.length > 0 && lines.every(line => line.length >= MIN_SECRET_LENGTH)
  return isLongEnough ? ok(lines) : fail({ kind: 'secret-too-short', path, minLength: MIN_SECRET_LENGTH })
}

/** The secrets of a file. If the file becomes unreadable or invalid, the last valid lines stay in use. */
export class SecretFile {
  #lines: readonly string[]
  #modifiedAtMs: number
  #checkedAtMs = performance.now()

  private constructor (readonly path: string, lines: readonly string[]) {
    this.#lines = lines
    this.#modifiedAtMs = statSync(path).mtimeMs
  }

  static open (path: string): Outcome<SecretFile, SecretFileError> {
    const lines = readLines(path)
    return lines.tag === 'ok' ? ok(new SecretFile(path, lines.value)) : lines
  }

  /** Returns the current lines. Checks the file for changes at most once per second. */
  lines (): readonly string[] {
    if (performance.now() - this.#checkedAtMs >= RECHECK_INTERVAL_MS) this.#reloadIfChanged()
    return this.#lines
  }

  buffers (): readonly Buffer[] { return this.lines().map(line => Buffer.from(line)) }

  #reloadIfChanged (): void {
    this.#checkedAtMs = performance.now()
    try {
      const modifiedAtMs = statSync(this.path).mtimeMs
      if (modifiedAtMs === this.#modifiedAtMs) return
      this.#modifiedAtMs = modifiedAtMs
    } catch {
      return
    }
    const lines = readLines(this.path)
    if (lines.tag === 'ok') this.#lines = lines.value
  }
}

/** The handle of a started process, and the errors of a start. */

import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import type { Address } from '../core/address.js'
import type { DiskError } from '../replicated-log/diskFormat.js'
import type { SecretFileError } from './secretFile.js'

/** A started process. */
export interface RunningProcess {
  /** Stops gracefully. Resolves when everything is closed. */
  stop (): Promise<void>
}

/** The reason why a process cannot start. */
export type StartError =
  | { readonly kind: 'file-unusable', readonly path: string, readonly reason: string }
  | { readonly kind: 'address-unusable', readonly what: string, readonly address: string, readonly reason: string }
  | SecretFileError
  | DiskError

/** An address to listen on. `what` is its purpose, used in error messages. */
export interface Listener { readonly what: string, readonly address: Address, readonly listen: () => Promise<unknown> }

/** Listens on every address. Returns an `address-unusable` error for the first one that cannot be bound. */
export const listenAll = async (listeners: readonly Listener[]): Promise<Outcome<null, StartError>> => {
  for (const { what, address, listen } of listeners) {
    try {
      await listen()
    } catch (error) {
      const reason = error instanceof Error ? error.message : 'unknown'
      return fail({ kind: 'address-unusable', what, address: `${address.address}:${address.port}`, reason })
    }
  }
  return ok(null)
}

/** Formats an error as one line. */
export const describeStartError = (error: StartError): string => {
  switch (error.kind) {
    case 'file-unusable': return `cannot use ${error.path}: ${error.reason}`
    case 'address-unusable': return `cannot listen for ${error.what} on ${error.address}: ${error.reason}`
    case 'secret-unreadable': return `cannot read key file ${error.path}: ${error.reason}`
    case 'secret-too-short': return `key file ${error.path} must have at least one line, and each line at least ${error.minLength} characters`
    case 'log-corrupt': return `the log is corrupt at byte ${error.offset}`
    case 'record-unknown': return `the log has a record at byte ${error.offset} that this build cannot read; start the build that wrote it`
    case 'replica-incomplete': return `the file ${error.file} of the replica is missing or empty`
    case 'folder-unusable': return `cannot use the data folder: ${error.reason}`
    case 'already-founded': return 'the data folder already holds a replica'
  }
}

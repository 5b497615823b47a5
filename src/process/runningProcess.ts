/** The handle of a started process, and the errors of a start. */

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
  | { readonly kind: 'address-unusable', readonly what: string, readonly address: string, readonly reason: string, readonly isTransient: boolean }
  | SecretFileError
  | DiskError

/** An address to listen on. `what` is its purpose, used in error messages. */
export interface Listener { readonly what: string, readonly address: Address, readonly listen: () => Promise<unknown> }

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

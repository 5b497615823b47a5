/** What a started process offers, and why one cannot start. */

import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import type { Address } from '../core/address.js'
import type { DiskError } from '../replicated-log/diskFormat.js'
import type { SecretFileError } from './secretFile.js'

/** A process that serves. */
export interface RunningProcess {
  /** Stops gracefully; resolves when nothing is left running. */
  stop (): Promise<void>
}

/** Why a process cannot start. */
export type StartError =
  | { readonly kind: 'file-unusable', readonly path: string, readonly reason: string }
  | { readonly kind: 'address-unusable', readonly what: string, readonly address: string, readonly reason: string }
  | SecretFileError
  | DiskError

/** One address to listen on. */
export interface Listener { readonly what: string, readonly address: Address, readonly listen: () => Promise<unknown> }

/** Listens on every address, or says which one cannot be had. */
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

/** An error as one line for a person. */
export const describeStartError = (error: StartError): string => {
  switch (error.kind) {
    case 'file-unusable': return `cannot use ${error.path}: ${error.reason}`
    case 'address-unusable': return `cannot listen for ${error.what} on ${error.address}: ${error.reason}`
    case 'secret-unreadable': return `cannot read key file ${error.path}: ${error.reason}`
    case 'secret-too-short': return `key file ${error.path} needs at least one line, each of ${error.least} characters or more`
    case 'log-corrupt': return `the log is damaged at byte ${error.offset}; move the data folder away and let this host join as a new replica`
    case 'folder-unusable': return `cannot use the data folder: ${error.reason}`
    case 'already-founded': return 'the data folder already holds a replica'
  }
}

/** Tables of withdrawn API keys and errors of the key check. */

import type { KeyDigest } from '../core/id.js'
import type { RowTable } from '../core/table.js'

/** A withdrawn key. Withdrawals are never undone. */
export interface Withdrawal { readonly digest: KeyDigest }

/** Withdrawals, kept apart from the configuration because they spread by gossip and need no quorum. */
export interface KeyTables {
  readonly withdrawals: RowTable<KeyDigest, Withdrawal>
}

/** Why the key of a request does not admit it. */
export type KeyError =
  | { readonly kind: 'key-missing' }
  | { readonly kind: 'key-unknown' }
  | { readonly kind: 'key-withdrawn' }
  | { readonly kind: 'configuration-not-loaded' }
  | { readonly kind: 'configuration-stale', readonly ageMs: number }

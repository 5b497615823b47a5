/** Checks the API key of a request. The check runs for each request, not once per connection. */

import { createHash } from 'node:crypto'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import { toId } from '../core/id.js'
import type { KeyDigest } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { Configuration } from '../configuration/configurationTables.js'
import type { ProfileTerms } from '../plan/types.js'
import type { Workspace } from '../configuration/types.js'
import type { MembershipTables } from '../membership/types.js'
import type { KeyError, KeyTables } from './types.js'

/** Returns the digest under which a key is stored and compared. A look-up by digest leaks no timing information about the key. */
export const digestKey = (key: string): KeyDigest => toId(createHash('sha256').update(key).digest('hex'))

export type KeyCheckTables = KeyTables & Pick<MembershipTables, 'gossip'> & { readonly configuration: Configuration }

const checkFreshness = (tables: KeyCheckTables, terms: ProfileTerms, now: Millis): KeyError | null => {
  const confirmedAt = tables.gossip.confirmedAt
  // After a start, an empty table does not mean that no key is withdrawn: a peer must first confirm that the configuration is current.
  if (confirmedAt === null) return { kind: 'configuration-not-loaded' }
  const ageMs = now - confirmedAt
  if (terms.whenCutOff === 'refuse' && ageMs > terms.staleAfterMs) return { kind: 'configuration-stale', ageMs }
  return null
}

/** Returns the workspace that a key belongs to, or why the key does not admit the request. */
export const checkKey = (tables: KeyCheckTables, digest: KeyDigest | null, terms: ProfileTerms, now: Millis): Outcome<Workspace, KeyError> => {
  if (digest === null) return fail({ kind: 'key-missing' })
  const staleness = checkFreshness(tables, terms, now)
  if (staleness !== null) return fail(staleness)
  const grant = tables.configuration.keys.get(digest)
  if (tables.withdrawals.has(digest) || grant?.state === 'withdrawn') return fail({ kind: 'key-withdrawn' })
  const workspace = grant === undefined ? undefined : tables.configuration.workspaces.get(grant.workspace)
  if (workspace === undefined) return fail({ kind: 'key-unknown' })
  return ok(workspace)
}

/** Removes the plan document from the configuration that spreads by gossip, because only control hosts need it. */

import type { Change, ConfigurationSnapshot } from '../configuration/types.js'

/** Returns a copy of the snapshot without the document of its plan. */
export const snapshotWithoutDocument = (snapshot: ConfigurationSnapshot): ConfigurationSnapshot =>
  snapshot.plan === null ? snapshot : { ...snapshot, plan: { ...snapshot.plan, document: null } }

/** Returns a copy of the change without the document of its plan. Returns any other change as it is. */
export const changeWithoutDocument = (change: Change): Change => {
  const { envelope } = change
  if (envelope === null || envelope.command.kind !== 'put-plan') return change
  const plan = { ...envelope.command.plan, document: null }
  return { ...change, envelope: { ...envelope, command: { kind: 'put-plan', plan } } }
}

/** Takes the operator's text out of what goes to hosts that only obey a plan. */

import type { Change, ConfigurationSnapshot } from '../configuration/types.js'

/** A snapshot for hosts that only obey it. */
export const snapshotWithoutDocument = (snapshot: ConfigurationSnapshot): ConfigurationSnapshot =>
  snapshot.plan === null ? snapshot : { ...snapshot, plan: { ...snapshot.plan, document: null } }

/** A change for hosts that only obey it. */
export const changeWithoutDocument = (change: Change): Change => {
  const { envelope } = change
  if (envelope === null || envelope.command.kind !== 'put-plan') return change
  const plan = { ...envelope.command.plan, document: null }
  return { ...change, envelope: { ...envelope, command: { kind: 'put-plan', plan } } }
}

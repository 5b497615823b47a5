/** Estimates the encoded size of changes and plans, so that a message stays below what a link accepts without encoding it first. */

import type { Change, CommandEnvelope } from '../configuration/types.js'
import type { Plan } from './types.js'

/** Encoded size of a row of a plan with names of usual length. */
const ROW_BYTES = 400
/** Encoded size of any other change. */
const SMALL_CHANGE_BYTES = 512

/** Estimated size of a plan in bytes, its document included. */
export const estimatePlanBytes = ({ routes, services, workspaces, document }: Plan): number =>
  ROW_BYTES * (routes.length + services.length + workspaces.length) + (document?.length ?? 0)

/** Estimated size of a command in bytes. */
export const estimateCommandBytes = (envelope: CommandEnvelope | null): number =>
  envelope?.command.kind === 'put-plan' ? estimatePlanBytes(envelope.command.plan) : SMALL_CHANGE_BYTES

/** Estimated size of changes in bytes. */
export const estimateChangesBytes = (changes: readonly Change[]): number => {
  let bytes = 0
  for (const { envelope } of changes) bytes += estimateCommandBytes(envelope)
  return bytes
}

/** Estimates the size of commands and plans, by which messages, logs and caches are bounded without encoding their content. */

import type { CommandEnvelope } from '../configuration/types.js'
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

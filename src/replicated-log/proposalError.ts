/** Tells errors of proposals apart. */

import type { ProposalError } from './types.js'

/** Whether the same command may succeed when it is sent again. */
export const isTemporary = ({ kind }: ProposalError): boolean => kind === 'outcome-unknown' || kind === 'log-full'

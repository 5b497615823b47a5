/** Checks at the edge what will be sent to other hosts, since they drop a whole message, or stop at a log entry, that they can't accept. */

import { isIPv4 } from 'node:net'
import type { Announcement } from '../announcement/types.js'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import type { Millis } from '../core/tick.js'
import type { Retirement } from '../configuration/types.js'
import type { Plan } from '../plan/types.js'
import { estimatePlanBytes } from '../plan/planSize.js'
import { firstIssue } from './jsonBody.js'
import { MAX_MESSAGE_BYTES } from './linkCodec.js'
import { announcementSchema, planSchema, retirementSchema } from './messageSchema.js'

/** A server can't have started later than this after now. A later start would outrank every other server at its address. */
const MAX_CLOCK_DIFFERENCE_MS: Millis = 3_600_000

/** Largest plan, half of what a link accepts. */
const MAX_PLAN_BYTES = MAX_MESSAGE_BYTES / 2

/** Returns the announcement if every host accepts it and can connect to its target, else the reason. `nowMs` is the wall clock. */
export const checkAnnouncement = (value: unknown, nowMs: Millis): Outcome<Announcement, string> => {
  const parsed = announcementSchema.safeParse(value)
  if (!parsed.success) return fail(firstIssue(parsed.error))
  const { target, epoch } = parsed.data
  if (!isIPv4(target.address) || target.port === 0) return fail('target: not usable')
  if (epoch > nowMs + MAX_CLOCK_DIFFERENCE_MS) return fail('epoch: in the future')
  // The schema has validated the shapes; only the ids are not branded yet.
  return ok(parsed.data as unknown as Announcement)
}

/** Returns the retirement if every host accepts it, else the reason. */
export const checkRetirement = (value: Retirement): Outcome<Retirement, string> => {
  const parsed = retirementSchema.safeParse(value)
  return parsed.success ? ok(value) : fail(firstIssue(parsed.error))
}

/** Returns why a plan can't be replicated; null if it can. */
export const findPlanFault = (plan: Plan): string | null => {
  if (estimatePlanBytes(plan) > MAX_PLAN_BYTES) return 'too large'
  const parsed = planSchema.safeParse(plan)
  return parsed.success ? null : firstIssue(parsed.error)
}

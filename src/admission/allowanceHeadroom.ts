/** How far the operators let a workspace go above its rate limit, turned into a larger rate and burst. */

import type { AllowanceShare, AllowanceTolerance } from './allowanceShare.js'

/** Enforces the limit itself. */
export const NO_TOLERANCE: AllowanceTolerance = { windowMs: 1_000, fraction: 0, requests: 0 }

/** Part of the tolerance that is used. The rest covers requests that are admitted in one window and arrive in another. */
const USED_FRACTION = 0.75
/** Part of the tolerated requests that is earned evenly over a window; the rest enlarges the burst. */
const EVEN_FRACTION = 0.5
const MS_PER_SECOND = 1_000

/** Returns the rate and burst that keep each window within the tolerance. Unlimited workspaces stay unlimited. */
export const withHeadroom = ({ rate, burst }: AllowanceShare, { windowMs, fraction, requests }: AllowanceTolerance): AllowanceShare => {
  if (!Number.isFinite(rate) || rate <= 0) return { rate, burst }
  const factor = 1 + fraction * USED_FRACTION
  const extra = requests * USED_FRACTION
  return { rate: rate * factor + extra * EVEN_FRACTION * MS_PER_SECOND / windowMs, burst: burst * factor + extra * (1 - EVEN_FRACTION) }
}

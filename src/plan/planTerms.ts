/** The steering terms for the services of a plan, derived from a shift cap. */

import type { ProfileTerms } from './types.js'

/** Length of the windows from one to the next of which the operators limit shifts between regions. */
const SHIFT_WINDOW_MS = 2_000
/** Fraction of the shift cap that is used. The margin is needed because the windows of different hosts are not aligned. */
const SHIFT_CAP_FRACTION = 0.7
const STALE_AFTER_MS = 60_000

/** Returns terms for a cap on the fraction of a region's requests that may change region within one window, 0 to 1. */
export const planTerms = (shiftCap: number): ProfileTerms => ({
  shiftCap: shiftCap * SHIFT_CAP_FRACTION,
  shiftWindowMs: SHIFT_WINDOW_MS,
  allowedRegions: [],
  drainMs: 0,
  whenCutOff: 'serve',
  staleAfterMs: STALE_AFTER_MS
})

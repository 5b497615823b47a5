/** The terms that services of a plan run under where only the shift cap is given. */

import type { ProfileTerms } from './types.js'

/** Changes of region are counted over windows of this length, in milliseconds. */
const SHIFT_WINDOW_MS = 2_000
/** Part of the shift cap that is used, since each host counts its own windows. */
const SHIFT_CAP_FRACTION = 0.7
const STALE_AFTER_MS = 60_000

/** Terms under a cap on the part of a region's requests that may change region in a window, 0 to 1. */
export const planTerms = (shiftCap: number): ProfileTerms => ({
  shiftCap: shiftCap * SHIFT_CAP_FRACTION,
  shiftWindowMs: SHIFT_WINDOW_MS,
  allowedRegions: [],
  drainMs: 0,
  whenCutOff: 'serve',
  staleAfterMs: STALE_AFTER_MS
})

/** Exponential decay that gives the same bits on every processor, so that a recorded trace replays alike on each of them. */

import exp from '@stdlib/math-base-special-exp'
import type { Millis } from './tick.js'

/** Returns the fraction, 0 to 1, that is left of a value after the elapsed time. */
export const remainingFraction = (elapsedMs: Millis, timeConstantMs: Millis): number => exp(-elapsedMs / timeConstantMs)

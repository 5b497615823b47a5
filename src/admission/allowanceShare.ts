/** A rate limit as one host applies it, and how far it may be exceeded. */

import type { Millis } from '../core/tick.js'

/** A host's share of a workspace's rate and burst. */
export interface AllowanceShare { readonly rate: number, readonly burst: number }

/** The tolerated excess over a rate limit, counted over windows of any position. */
export interface AllowanceTolerance {
  /** Length of the windows, in milliseconds. */
  readonly windowMs: Millis
  /** Fraction of the limit that a window may exceed it by, 0 to 1. */
  readonly fraction: number
  /** Requests that a window may exceed it by in addition. */
  readonly requests: number
}

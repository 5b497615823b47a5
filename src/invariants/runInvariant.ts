/** Invariant: a non-idempotent request runs at most once. */

/** Returns the number of requests that ran more than once. */
export const countDuplicateRuns = (runs: ReadonlyMap<string, number>): number => {
  let duplicates = 0
  for (const count of runs.values()) {
    if (count > 1) duplicates += 1
  }
  return duplicates
}

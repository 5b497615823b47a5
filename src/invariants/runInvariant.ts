/** Invariant: a non-idempotent request runs at most once. */

/** Requests that ran more than once. */
export const countDuplicateRuns = (runs: ReadonlyMap<string, number>): number => {
  let doubled = 0
  for (const count of runs.values()) {
    if (count > 1) doubled += 1
  }
  return doubled
}

/** Decides which requests a process refuses unread while its event loop is saturated. */

/** Requests refused in a row before one is served. Without it, refusals that alone saturate the loop would end all service. */
export const MAX_REFUSED_IN_A_ROW = 7

/** Refuses all but a fixed share of the requests while the event loop is saturated. */
export class SaturationLimit {
  #refusedInARow = 0

  /** Returns whether to refuse the next request. */
  refuses (isSaturated: boolean): boolean {
    const isRefused = isSaturated && this.#refusedInARow < MAX_REFUSED_IN_A_ROW
    this.#refusedInARow = isRefused ? this.#refusedInARow + 1 : 0
    return isRefused
  }
}

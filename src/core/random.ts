/** Seeded random numbers. Systems receive the generator with the tick, so that a recorded inbox replays exactly. */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'

/** A random number generator. */
export interface Random {
  /** Returns an integer in [0, limit), or 0 if the limit is below 1. */
  below (limit: number): number
  /** Returns a number in [0, 1). */
  unit (): number
}

/** A generator that returns the same sequence for the same seed. */
export class SeededRandom implements Random {
  readonly #generator

  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed | 0)
  }

  below (limit: number): number { return limit <= 1 ? 0 : uniformInt(this.#generator, 0, limit - 1) }

  unit (): number { return this.below(0x40000000) / 0x40000000 }
}

/** Returns a random element, or undefined for an empty list. */
export const pick = <T>(random: Random, list: readonly T[]): T | undefined => list[random.below(list.length)]

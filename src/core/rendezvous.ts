/** Rendezvous hashing: every host ranks the same candidates for a key alike, without talking to the others. */

import { crc32 } from 'node:zlib'

/** The weight of a candidate for a key; the greatest is first. */
export const rendezvousWeight = (key: string, candidate: string): number => {
  // crc32 is linear, so its result is mixed before it is compared.
  let mixed = crc32(`${key}\n${candidate}`)
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

/** Whether a candidate is among the first of all candidates for a key. */
export const isAmongTopRanked = (key: string, candidate: string, candidates: readonly string[], places: number): boolean => {
  if (!candidates.includes(candidate)) return false
  const own = rendezvousWeight(key, candidate)
  let before = 0
  for (const other of candidates) {
    if (other !== candidate && rendezvousWeight(key, other) > own) before += 1
    if (before >= places) return false
  }
  return true
}

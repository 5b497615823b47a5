/** Rendezvous hashing: every host ranks the same candidates for a key in the same order, without coordination. */

import { crc32 } from 'node:zlib'

// CRC-32 is linear, so similar inputs give related results. The finalizer mixes the bits before weights are compared.
const mixBits = (value: number): number => {
  let hash = Math.imul(value ^ (value >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** Returns the weight of a candidate for a key. The candidate with the highest weight ranks first. */
export const rendezvousWeight = (key: string, candidate: string): number => mixBits(crc32(`${key}\n${candidate}`))

/** Returns the hash of a key or a candidate for `weightOfHashes`. */
export const rendezvousHash = (text: string): number => mixBits(crc32(text))

/** Returns the weight of a candidate for a key from their hashes, for candidates that are ranked for many keys. */
export const weightOfHashes = (keyHash: number, candidateHash: number): number => mixBits(keyHash ^ candidateHash)

/** Returns whether a candidate is one of the `count` candidates with the highest weight for a key. */
export const isAmongTopRanked = (key: string, candidate: string, candidates: readonly string[], count: number): boolean => {
  if (!candidates.includes(candidate)) return false
  const weight = rendezvousWeight(key, candidate)
  let higherRanked = 0
  for (const other of candidates) {
    if (other !== candidate && rendezvousWeight(key, other) > weight) higherRanked += 1
    if (higherRanked >= count) return false
  }
  return true
}

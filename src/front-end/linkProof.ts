/** Mutual challenge-response authentication of a link: each end signs the other's nonce with the fleet key (HMAC-SHA-256). */

import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'
import type { HostId } from '../core/id.js'

/** The end of a link. It is part of the proof, so that a proof of one end cannot be replayed as the other's. */
export type LinkEnd = 'dialler' | 'listener'

/** Returns a random nonce of 16 bytes, in hex. */
export const createNonce = (): string => randomBytes(16).toString('hex')

/** Returns the proof, in hex, that a host has the fleet key. */
export const createProof = (fleetKey: Buffer, end: LinkEnd, host: HostId, peerNonce: string, ownNonce: string): string =>
  createHmac('sha256', fleetKey).update(JSON.stringify([end, host, peerNonce, ownNonce])).digest('hex')

/** Compares two proofs in constant time. */
export const isSameProof = (a: string, b: string): boolean => {
  const left = Buffer.from(a)
  const right = Buffer.from(b)
  return left.length === right.length && timingSafeEqual(left, right)
}

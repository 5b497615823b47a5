/** Registry of the dissemination policies. */

import { PeerSelector } from '../membership/peerSelector.js'
import type { Dissemination } from './dissemination.js'
import { EpidemicDissemination } from './epidemicDissemination.js'
import { TieredDissemination } from './tieredDissemination.js'

const disseminationRegistry = {
  epidemic: (): Dissemination => new EpidemicDissemination(new PeerSelector()),
  tiered: (): Dissemination => new TieredDissemination(new PeerSelector())
} as const

/** Names of the dissemination policies. */
export type DisseminationName = keyof typeof disseminationRegistry

/** Creates a dissemination policy for one host. */
export const createDissemination = (name: DisseminationName): Dissemination => disseminationRegistry[name]()

/** Conversion of the `seeds` setting. */

import { toId } from '../core/id.js'
import type { Seed } from '../membership/types.js'
import type { EntrySettings } from './settingsSchema.js'

/** Returns the hosts that a new process contacts first. */
export const toSeeds = (seeds: EntrySettings['seeds']): Seed[] =>
  seeds.map(seed => ({ host: toId(seed.host), link: { address: seed.address, port: seed.port } }))

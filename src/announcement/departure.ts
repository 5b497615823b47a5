/** What a backend server that leaves without a drain has to be retired as. */

import type { BackendId } from '../core/id.js'
import type { Retirement } from '../configuration/types.js'
import { findIncarnation } from './announcementTopic.js'
import type { AnnouncementTables } from './types.js'

/**
 * Returns the retirement of the server process that leaves, or null when it can't be told which one is meant. A host that has
 * just started knows no servers, but entry hosts may use the server all the same, so it is retired by its name and epoch alone.
 */
export const findDeparture = (tables: AnnouncementTables, backend: BackendId, epoch: number | null): Retirement | null => {
  const known = findIncarnation(tables, backend, epoch)
  if (known !== undefined) return { service: known.service, backend, epoch: known.epoch }
  return epoch === null ? null : { service: null, backend, epoch }
}

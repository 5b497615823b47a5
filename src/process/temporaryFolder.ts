/** A folder for a host that has no disk. */

import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { StartLog } from './stopRequest.js'

/** Returns the temporary folder of a host, and logs that it is used. Hosts on the same machine have different ones. */
export const temporaryFolder = (host: string, log: StartLog): string => {
  const folder = join(tmpdir(), 'rhubarbseam', host)
  log.info({ folder }, 'no data folder is set; the log is in a temporary folder')
  return folder
}

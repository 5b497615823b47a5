/** Connects the links of a process to its inbox and its metrics. */

import type { HostId } from '../core/id.js'
import type { LinkScope } from '../membership/linkScope.js'
import type { Address } from '../core/address.js'
import type { Log } from '../observability/log.js'
import { LinkTraffic } from '../observability/linkTraffic.js'
import type { Metrics } from '../observability/metrics.js'
import type { FaultLog } from '../process/containment.js'
import type { SecretFile } from '../process/secretFile.js'
import type { LinkMessage } from './linkCodec.js'
import { LinkHub } from './linkHub.js'

export interface ProcessLinksOptions {
  readonly self: HostId
  readonly listen: Address
  readonly fleetKeys: SecretFile
  readonly log: Log
  readonly metrics: Metrics
  readonly faults: FaultLog
  /** Returns how far away a host is. */
  readonly scopeOf: (host: HostId) => LinkScope
  readonly onMessage: (from: HostId, message: LinkMessage) => void
}

/** Creates the link hub of a process and counts traffic and malformed messages in the metrics. */
export const createProcessLinks = ({ self, listen, fleetKeys, log, metrics, faults, scopeOf, onMessage }: ProcessLinksOptions): LinkHub => {
  const traffic = new LinkTraffic(log)
  return new LinkHub({
    self,
    listen,
    fleetKeys: () => fleetKeys.buffers(),
    log,
    faults,
    events: {
      onMessage,
      onMalformed: () => { metrics.malformed.inc({ where: 'link' }) },
      onTraffic: (direction, bytes, kind, host) => {
        const scope = scopeOf(host)
        metrics.linkBytes.inc({ direction, kind, scope }, bytes)
        if (direction === 'out') traffic.countSent(kind, scope, bytes)
      }
    }
  })
}

/** A process as it introduces itself to the others. */

import { toId } from '../core/id.js'
import type { Address } from '../core/address.js'
import type { HostRole, Member } from './types.js'

/** What a process knows of its own place. */
export interface MemberPlace {
  readonly host: string
  readonly region: string
  readonly zone: string
  readonly site?: string | undefined
  readonly link: Address
}

/** A member that starts now. */
export const createMember = (role: HostRole, { host, region, zone, site, link }: MemberPlace, callers: Address | null): Member => ({
  host: toId(host),
  role,
  region: toId(region),
  zone: toId(zone),
  site: toId(site ?? zone),
  link,
  callers,
  epoch: Date.now(),
  incarnation: 0,
  state: 'alive'
})

/** Creates the member record that a process announces to the fleet. */

import { toId } from '../core/id.js'
import type { Address } from '../core/address.js'
import type { HostRole, Member } from './types.js'

/** Identity, location and link address of a process. */
export interface MemberIdentity {
  readonly host: string
  readonly region: string
  readonly zone: string
  readonly site?: string | undefined
  readonly link: Address
}

/** Creates the member of a process that starts now; its epoch is the wall-clock time. */
export const createMember = (role: HostRole, { host, region, zone, site, link }: MemberIdentity, callers: Address | null): Member => ({
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

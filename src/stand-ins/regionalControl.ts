/** Control hosts of a virtual fleet in three regions of two zones each, one in each zone. */

import type { HostId } from '../core/id.js'
import type { Seed } from '../membership/types.js'
import { AutomaticAdmission } from '../replicated-log/replicaAdmission.js'
import { VirtualControl } from './virtualControl.js'
import type { VirtualControlOptions } from './virtualControl.js'
import type { VirtualFleet } from './virtualFleet.js'
import { zoneOfHost } from './virtualTopology.js'

const CONTROL_NAMES = ['n1-c', 'n2-c', 'm1-c', 'm2-c', 's1-c', 's2-c']
const FOUNDER_COUNT = 3

/** Starts the control hosts. Three found the group and admit the others, unless the options say otherwise. */
export const startRegionalControl = (fleet: VirtualFleet, options: VirtualControlOptions = {}): VirtualControl =>
  new VirtualControl(fleet, CONTROL_NAMES, { founders: FOUNDER_COUNT, admission: () => new AutomaticAdmission(), dissemination: 'tiered', zoneOf: zoneOfHost, ...options })

/** The founders, as hosts that others contact first. */
export const founderSeeds = ({ hosts }: { readonly hosts: readonly HostId[] }): readonly Seed[] =>
  hosts.slice(0, FOUNDER_COUNT).map(host => ({ host, link: { address: host, port: 1 } }))

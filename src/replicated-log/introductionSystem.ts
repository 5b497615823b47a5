/** Makes every replica of the group a member, so that control hosts that start at the same time needn't wait for an anti-entropy exchange. */

import type { Configuration } from '../configuration/configurationTables.js'
import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import { introduce } from '../gossip/gossipSteps.js'
import type { MembershipTables, MessageSent, GossipMessage } from '../membership/types.js'
import { otherReplicas } from './replicaSteps.js'
import type { LogTables, Replica } from './types.js'

const INTRODUCTION_INTERVAL_MS: Millis = 400

type IntroductionTables = LogTables & MembershipTables & { readonly configuration: Configuration }
type IntroductionTick = Tick<IntroductionTables, unknown, MessageSent<GossipMessage>>

// A replica without a group knows the leader by its messages only; its seeds may all be lost.
const knownReplicas = (tables: IntroductionTables): Replica[] =>
  tables.replica.group.voters.length > 0 ? otherReplicas(tables) : [...tables.joining.rows()]

const unknownReplicas = (tables: IntroductionTables): Replica[] => knownReplicas(tables).filter(({ host }) => !tables.members.has(host))

/** Introduces this host to the replicas of its group that it doesn't know as members, until each has answered. */
export class IntroductionSystem implements System<IntroductionTables, unknown, MessageSent<GossipMessage>> {
  readonly name = 'introduction'
  #nextAt: Millis = 0

  run (tick: IntroductionTick): void {
    if (tick.now < this.#nextAt) return
    this.#nextAt = tick.now + INTRODUCTION_INTERVAL_MS
    for (const replica of unknownReplicas(tick.tables)) introduce(tick, replica)
  }

  deadline (tables: IntroductionTables): Millis { return unknownReplicas(tables).length > 0 ? this.#nextAt : NEVER }
}

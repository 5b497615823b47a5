/** Sources of beliefs: one class for each kind of dependency whose state a process tracks. */

import { backendKey } from '../announcement/announcementTopic.js'
import type { AnnouncementTables } from '../announcement/types.js'
import type { Configuration } from '../configuration/configurationTables.js'
import type { Millis } from '../core/tick.js'
import type { MembershipTables } from '../membership/types.js'
import { waitingReplicas } from '../replicated-log/replicaAdmission.js'
import type { LogTables, Replica } from '../replicated-log/types.js'
import type { Belief, BeliefKind } from './types.js'

/** Time without a confirmed configuration after which a host counts as out of contact with the quorum. */
export const QUORUM_CONTACT_TIMEOUT_MS: Millis = 3_000

type ConfirmationTables = Pick<MembershipTables, 'gossip'> & { readonly configuration: Configuration }

/** Reads the current beliefs about one kind of subject. */
export interface BeliefSource<Tables> {
  readonly event: BeliefKind
  /** State in which a subject that is seen for the first time is not logged; null if the first state is always logged. */
  readonly unloggedState: string | null
  /** Returns a number that changes with every change of a belief of this kind; null if there is none, so that the source is always read. */
  revision (tables: Tables): number | null
  read (tables: Tables, now: Millis): Iterable<Belief>
}

/** Reads the states of the other processes of the fleet. */
export class PeerSource implements BeliefSource<MembershipTables> {
  readonly event = 'peer'

  get unloggedState (): string { return 'alive' }

  revision ({ members }: MembershipTables): number { return members.revision }

  * read ({ members, gossip }: MembershipTables): Iterable<Belief> {
    for (const { member } of members.rows()) {
      if (member.host === gossip.self.host) continue
      yield { event: 'peer', subject: member.host, state: member.state, facts: { role: member.role, zone: member.zone, epoch: member.epoch } }
    }
  }
}

/** Reads the states of the backend servers. */
export class BackendSource implements BeliefSource<AnnouncementTables> {
  readonly event = 'backend'

  get unloggedState (): string { return 'up' }

  revision ({ backends }: AnnouncementTables): number { return backends.revision }

  * read ({ backends }: AnnouncementTables, now: Millis): Iterable<Belief> {
    for (const { announcement, heardAt } of backends.rows()) {
      const silentMs = heardAt === null ? null : Math.round(now - heardAt)
      const { zone, epoch, sequence, state } = announcement
      yield { event: 'backend', subject: backendKey(announcement), state, facts: { zone, epoch, sequence, silentMs } }
    }
  }
}

/** Reads the index of the configuration in force. */
export class ConfigurationSource implements BeliefSource<ConfirmationTables> {
  readonly event = 'configuration'

  get unloggedState (): null { return null }

  revision (): null { return null }

  * read ({ configuration, gossip }: ConfirmationTables): Iterable<Belief> {
    const evacuated = [...configuration.evacuations.rows()].map(row => row.zone).join(' ')
    yield { event: 'configuration', subject: 'configuration', state: String(configuration.index), facts: { planVersion: configuration.plan?.version ?? null, evacuated, source: gossip.configurationFrom } }
  }
}

/** Reads whether this host is in contact with the quorum. */
export class QuorumSource implements BeliefSource<ConfirmationTables> {
  readonly event = 'quorum'

  get unloggedState (): null { return null }

  revision (): null { return null }

  * read ({ gossip }: ConfirmationTables, now: Millis): Iterable<Belief> {
    const ageMs = gossip.confirmedAt === null ? null : Math.round(now - gossip.confirmedAt)
    const state = ageMs !== null && ageMs < QUORUM_CONTACT_TIMEOUT_MS ? 'in touch' : 'out of touch'
    yield { event: 'quorum', subject: 'quorum', state, facts: { ageMs, source: gossip.vouchedBy, vouchedIndex: gossip.vouch?.index ?? null } }
  }
}

/** Reads the leader of the control group. */
export class LeaderSource implements BeliefSource<Pick<LogTables, 'replica'>> {
  readonly event = 'leader'

  get unloggedState (): null { return null }

  revision (): null { return null }

  * read ({ replica }: Pick<LogTables, 'replica'>): Iterable<Belief> {
    const { leader, role, term, commit, group } = replica
    yield { event: 'leader', subject: 'leader', state: leader ?? 'none', facts: { role, term, commit, voters: group.voters.length } }
  }
}

const replicaNames = (replicas: readonly Replica[]): string => replicas.map(({ replica }) => replica).sort().join(' ')

/** Reads which replicas vote, learn, and wait to be admitted, as this control host sees it. */
export class GroupSource implements BeliefSource<Pick<LogTables, 'replica' | 'joining'>> {
  readonly event = 'group'

  get unloggedState (): null { return null }

  revision (): null { return null }

  * read (tables: Pick<LogTables, 'replica' | 'joining'>, now: Millis): Iterable<Belief> {
    const { group: { voters, learners }, admission } = tables.replica
    const facts = {
      voters: replicaNames(voters),
      learners: replicaNames(learners),
      waiting: replicaNames(waitingReplicas(tables, now)),
      admitting: admission?.replica.replica ?? null,
      replaced: admission?.replaces?.replica ?? null
    }
    yield { event: 'group', subject: 'group', state: `${facts.voters}; ${facts.learners}; ${facts.waiting}`, facts }
  }
}

/** Reads how many entry hosts a control host knows, to which it can send changes. */
export class EntryHostSource implements BeliefSource<MembershipTables> {
  readonly event = 'entry-hosts'

  get unloggedState (): null { return null }

  revision ({ members }: MembershipTables): number { return members.revision }

  * read ({ members }: MembershipTables): Iterable<Belief> {
    let reachable = 0
    let dead = 0
    for (const { member } of members.rows()) {
      if (member.role !== 'entry') continue
      if (member.state === 'dead') dead += 1
      else reachable += 1
    }
    yield { event: 'entry-hosts', subject: 'entry hosts', state: String(reachable), facts: { dead } }
  }
}

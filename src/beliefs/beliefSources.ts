/** Where a process's beliefs are read from: one class for each kind of thing that it depends on. */

import { backendKey } from '../announcement/announcementTopic.js'
import type { AnnouncementTables } from '../announcement/types.js'
import type { Configuration } from '../configuration/configurationTables.js'
import type { Millis } from '../core/tick.js'
import type { MembershipTables } from '../membership/types.js'
import type { LogTables } from '../replicated-log/types.js'
import type { Belief } from './types.js'

/** Without a vouch for this long a host counts as out of touch with the quorum. */
export const OUT_OF_TOUCH: Millis = 3_000

type Confirmed = Pick<MembershipTables, 'gossip'> & { readonly configuration: Configuration }

/** Tells what is believed now. */
export interface BeliefSource<Tables> {
  /** The state of a subject that is seen for the first time and needs no line; null where the first state always does. */
  readonly unloggedState: string | null
  read (tables: Tables, now: Millis): Iterable<Belief>
}

/** The other processes of the fleet. */
export class PeerSource implements BeliefSource<MembershipTables> {
  get unloggedState (): string { return 'alive' }

  * read ({ members, gossip }: MembershipTables): Iterable<Belief> {
    for (const { member } of members.rows()) {
      if (member.host === gossip.self.host) continue
      yield { event: 'peer', subject: member.host, state: member.state, facts: { role: member.role, zone: member.zone, epoch: member.epoch } }
    }
  }
}

/** The backend servers. */
export class BackendSource implements BeliefSource<AnnouncementTables> {
  get unloggedState (): string { return 'up' }

  * read ({ backends }: AnnouncementTables, now: Millis): Iterable<Belief> {
    for (const { announcement, heardAt } of backends.rows()) {
      const silentMs = heardAt === null ? null : Math.round(now - heardAt)
      const { zone, epoch, sequence, state } = announcement
      yield { event: 'backend', subject: backendKey(announcement), state, facts: { zone, epoch, sequence, silentMs } }
    }
  }
}

/** The configuration in force. */
export class ConfigurationSource implements BeliefSource<Confirmed> {
  get unloggedState (): null { return null }

  * read ({ configuration }: Confirmed): Iterable<Belief> {
    const evacuated = [...configuration.evacuations.rows()].map(row => row.zone).join(' ')
    yield { event: 'configuration', subject: 'configuration', state: String(configuration.index), facts: { planVersion: configuration.plan?.version ?? null, evacuated } }
  }
}

/** Whether this host hears from the quorum. */
export class QuorumSource implements BeliefSource<Confirmed> {
  get unloggedState (): null { return null }

  * read ({ gossip }: Confirmed, now: Millis): Iterable<Belief> {
    const ageMs = gossip.confirmedAt === null ? null : Math.round(now - gossip.confirmedAt)
    const state = ageMs !== null && ageMs < OUT_OF_TOUCH ? 'in touch' : 'out of touch'
    yield { event: 'quorum', subject: 'quorum', state, facts: { ageMs } }
  }
}

/** The leader of the control group. */
export class LeaderSource implements BeliefSource<Pick<LogTables, 'replica'>> {
  get unloggedState (): null { return null }

  * read ({ replica }: Pick<LogTables, 'replica'>): Iterable<Belief> {
    const { leader, role, term, commit, group } = replica
    yield { event: 'leader', subject: 'leader', state: leader ?? 'none', facts: { role, term, commit, voters: group.voters.length } }
  }
}

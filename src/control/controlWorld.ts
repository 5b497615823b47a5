/** Assembles the tables and the ordered systems of a control host. */

import { RowTable } from '../core/table.js'
import { SeededRandom } from '../core/random.js'
import type { Millis, System, World } from '../core/tick.js'
import type { KeyDigest } from '../core/id.js'
import { createBackendTable } from '../announcement/announcementTopic.js'
import { BackendSource, ConfigurationSource, EntryHostSource, GroupSource, LeaderSource, PeerSource, QuorumSource } from '../beliefs/beliefSources.js'
import { BeliefSystem, createBeliefs } from '../beliefs/beliefSystem.js'
import { createConfiguration, installSnapshot } from '../configuration/configurationTables.js'
import { RecentChanges } from '../configuration/recentChanges.js'
import { Journal } from '../journal/journal.js'
import { BlockTable } from '../lookup/blockTable.js'
import { LookupSystem, RankingCache } from '../lookup/lookupSystem.js'
import { createShiftTables } from '../shift/shiftTables.js'
import type { Withdrawal } from '../key-check/types.js'
import { ConfirmationSystem } from '../gossip/confirmationSystem.js'
import { GossipReceiveSystem } from '../gossip/gossipReceiveSystem.js'
import { ProbeSystem } from '../gossip/probeSystem.js'
import { RefutationSystem } from '../gossip/refutationSystem.js'
import { createDissemination } from '../gossip/disseminationRegistry.js'
import type { DisseminationName } from '../gossip/disseminationRegistry.js'
import { SpreadSystem } from '../gossip/spreadSystem.js'
import { StallSystem } from '../gossip/stallSystem.js'
import { createMembership } from '../membership/membershipTables.js'
import type { Member, Seed } from '../membership/types.js'
import { CommitSystem } from '../replicated-log/commitSystem.js'
import { ElectionSystem } from '../replicated-log/electionSystem.js'
import { AnnouncementSystem, ANNOUNCEMENT_EXPIRY_MS } from '../announcement/announcementSystem.js'
import { ReportSystem } from '../announcement/reportSystem.js'
import { OperatorAdmission } from '../replicated-log/replicaAdmission.js'
import type { ReplicaAdmission } from '../replicated-log/replicaAdmission.js'
import { ReadSystem } from '../replicated-log/readSystem.js'
import { GroupSystem } from '../replicated-log/groupSystem.js'
import { createLogTables } from '../replicated-log/replicaTables.js'
import { STARTUP_GRACE_MS } from '../replicated-log/timing.js'
import { IntroductionSystem } from '../replicated-log/introductionSystem.js'
import { ReplicationReceiveSystem, ReplicationSendSystem } from '../replicated-log/replicationSystem.js'
import type { DiskImage } from '../replicated-log/types.js'
import type { SuspectId, SuspicionRow } from '../suspicion/types.js'
import type { ControlInput, ControlOutput, ControlTables } from './types.js'

/** The start values of a control host. */
export interface ControlWorldOptions {
  readonly self: Member
  /** Hosts to contact first. */
  readonly seeds: readonly Seed[]
  /** The replica as read from disk. */
  readonly image: DiskImage
  readonly admission?: ReplicaAdmission
  /** Time without a report after which a backend server is considered gone. */
  readonly reportExpiryMs?: Millis
  /** Between which hosts gossip travels; defaults to `epidemic`, a few random hosts. */
  readonly dissemination?: DisseminationName
  readonly randomSeed: number
  readonly now: Millis
}

const createTables = (options: ControlWorldOptions, electionAt: Millis): ControlTables => {
  const configuration = createConfiguration()
  if (options.image.snapshot !== null) installSnapshot(configuration, options.image.snapshot.configuration)
  const withdrawals = new RowTable<KeyDigest, Withdrawal>(row => row.digest)
  for (const key of configuration.keys.rows()) {
    if (key.state === 'withdrawn') withdrawals.put({ digest: key.digest })
  }
  const replica = { replica: options.image.replica, host: options.self.host, link: options.self.link }
  return {
    ...createMembership(options.self, options.seeds, options.now),
    ...createLogTables(replica, options.image, options.now, electionAt),
    configuration,
    recentChanges: new RecentChanges(),
    withdrawals,
    backends: createBackendTable(),
    suspicions: new RowTable<SuspectId, SuspicionRow>(row => row.suspicion.suspect),
    journal: new Journal(),
    ...createBeliefs(),
    blocks: new BlockTable([]),
    rankings: new RankingCache(),
    ...createShiftTables(),
  }
}

/** Creates the world of a control host from its disk image. */
export const createControlWorld = (options: ControlWorldOptions): World<ControlTables, ControlInput, ControlOutput> => {
  const random = new SeededRandom(options.randomSeed)
  const dissemination = createDissemination(options.dissemination ?? 'epidemic')
  const systems = [
    new StallSystem(),
    new GossipReceiveSystem(dissemination),
    new RefutationSystem(),
    new ReportSystem(),
    new AnnouncementSystem(options.reportExpiryMs ?? ANNOUNCEMENT_EXPIRY_MS, true),
    new LookupSystem(),
    new ElectionSystem(),
    new ReplicationReceiveSystem(),
    new CommitSystem(),
    new GroupSystem(options.admission ?? new OperatorAdmission()),
    new ReadSystem(),
    new ReplicationSendSystem(),
    new IntroductionSystem(),
    new BeliefSystem<ControlTables>([new PeerSource(), new BackendSource(), new ConfigurationSource(), new QuorumSource(), new LeaderSource(), new GroupSource(), new EntryHostSource()]),
    new ConfirmationSystem(dissemination),
    new ProbeSystem(dissemination),
    new SpreadSystem(dissemination)
  ] as Array<System<ControlTables, ControlInput, ControlOutput>>
  const electionAt = options.now + STARTUP_GRACE_MS + random.below(STARTUP_GRACE_MS)
  return { tables: createTables(options, electionAt), systems, random }
}

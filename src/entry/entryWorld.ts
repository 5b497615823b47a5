/** Assembles the tables and the ordered systems of an entry host. */

import { RowTable } from '../core/table.js'
import { SeededRandom } from '../core/random.js'
import type { System, World, Millis } from '../core/tick.js'
import type { ExchangeId, KeyDigest, WorkspaceId } from '../core/id.js'
import type { AllowanceTolerance } from '../admission/allowanceShare.js'
import { AllowanceParts } from '../admission/allowanceParts.js'
import { AdmissionSystem } from '../admission/admissionSystem.js'
import { FRUGAL_LENDING, FixedPartPolicy, LendingPolicy } from '../admission/allowancePolicy.js'
import type { AllowancePolicy } from '../admission/allowancePolicy.js'
import type { AllowanceRow } from '../admission/types.js'
import { AnnouncementSystem } from '../announcement/announcementSystem.js'
import { createBackendTable } from '../announcement/announcementTopic.js'
import type { HomePolicy } from '../affinity/homeScope.js'
import { createAffinityTables } from '../affinity/recentObjects.js'
import { ExpectedLatency, RandomChoice, PowerOfTwoChoices } from '../backend-choice/backendChoice.js'
import type { BackendChoice } from '../backend-choice/types.js'
import { BackendSource, ConfigurationSource, PeerSource, QuorumSource } from '../beliefs/beliefSources.js'
import { BeliefSystem, createBeliefs } from '../beliefs/beliefSystem.js'
import { createConfiguration } from '../configuration/configurationTables.js'
import { RecentChanges } from '../configuration/recentChanges.js'
import { AttemptSystem } from '../exchange/attemptSystem.js'
import { DispatchSystem, exchangeGroup } from '../exchange/dispatchSystem.js'
import { FifoQueue, MaxMinQueue, RankedMaxMinQueue } from '../exchange/queuePolicy.js'
import type { QueuePolicy } from '../exchange/queuePolicy.js'
import { createRankDemand } from '../exchange/rankDemand.js'
import { createCongestion } from '../exchange/congestion.js'
import { RequestSystem } from '../exchange/requestSystem.js'
import { NoticeSystem } from '../server-notice/noticeSystem.js'
import { StopSystem } from '../exchange/stopSystem.js'
import { createLifecycle } from '../exchange/lifecycle.js'
import type { ExchangeRow, WorkTimeRow } from '../exchange/types.js'
import { HostRetryBudget, FleetRetryBudget } from '../retry-budget/retryBudget.js'
import type { FleetRetryLimits } from '../retry-budget/retryBudget.js'
import type { RetryBudget } from '../retry-budget/types.js'
import { ClaimSystem } from '../idempotency/claimSystem.js'
import { NoRecords, RendezvousRecords } from '../idempotency/recordPlacement.js'
import type { RecordPlacement } from '../idempotency/recordPlacement.js'
import type { ClaimRow, RecordKey, RecordRow } from '../idempotency/types.js'
import type { Withdrawal } from '../key-check/types.js'
import type { BlockTable } from '../lookup/blockTable.js'
import { LookupSystem, RankingCache } from '../lookup/lookupSystem.js'
import { createMembership } from '../membership/membershipTables.js'
import { ConfirmationSystem } from '../gossip/confirmationSystem.js'
import { GossipReceiveSystem } from '../gossip/gossipReceiveSystem.js'
import { ProbeSystem } from '../gossip/probeSystem.js'
import { RefutationSystem } from '../gossip/refutationSystem.js'
import { createDissemination } from '../gossip/disseminationRegistry.js'
import type { DisseminationName } from '../gossip/disseminationRegistry.js'
import { SpreadSystem } from '../gossip/spreadSystem.js'
import { StallSystem } from '../gossip/stallSystem.js'
import type { Member, Seed } from '../membership/types.js'
import { Journal } from '../journal/journal.js'
import { NoSuspicion, SharedSuspicion } from '../suspicion/suspicionPolicy.js'
import type { SuspicionPolicy } from '../suspicion/suspicionPolicy.js'
import type { SuspectId, SuspicionRow } from '../suspicion/types.js'
import { WarmupSystem } from '../warmup/warmupSystem.js'
import { CappedShift, UncappedShift } from '../shift/shiftPolicy.js'
import type { ShiftPolicy } from '../shift/shiftPolicy.js'
import { createShiftTables } from '../shift/shiftTables.js'
import type { EntryInput, EntryOutput, EntryTables } from './types.js'

/** The policies of one entry host. */
export interface EntryPolicies {
  readonly allowance: AllowancePolicy
  readonly choice: BackendChoice
  readonly queue: QueuePolicy
  readonly records: RecordPlacement
  readonly suspicion: SuspicionPolicy
  readonly shift: ShiftPolicy
  readonly retries: RetryBudget
  /** Where objects have their homes; learned from the requests if absent. */
  readonly homes?: HomePolicy | undefined
  /** How far a workspace may go above its rate limit; not at all if absent. */
  readonly tolerance?: AllowanceTolerance | undefined
}

/** Policy implementations by the names used in the settings. The first of each is the default. */
export const policyRegistry = {
  allowance: { lending: () => new LendingPolicy(), 'frugal-lending': () => new LendingPolicy(FRUGAL_LENDING), 'fixed-part': () => new FixedPartPolicy() },
  choice: { 'two-choices': () => new PowerOfTwoChoices(), random: () => new RandomChoice(), 'expected-latency': () => new ExpectedLatency() },
  queue: { 'max-min': () => new MaxMinQueue(), 'first-come': () => new FifoQueue(), 'ranked-max-min': () => new RankedMaxMinQueue() },
  records: { rendezvous: () => new RendezvousRecords(), none: () => new NoRecords() },
  suspicion: { shared: () => new SharedSuspicion(), none: () => new NoSuspicion() },
  shift: { capped: () => new CappedShift(), uncapped: () => new UncappedShift() }
} as const

/** The name of each policy, as in the settings. */
export type PolicyNames = { readonly [K in keyof typeof policyRegistry]: keyof typeof policyRegistry[K] }

/** Policy names and parameters, as in the settings. */
export type PolicySettings = PolicyNames & { readonly retryBudget?: FleetRetryLimits | undefined, readonly tolerance?: AllowanceTolerance | undefined }

/** Creates the policies that the settings name. */
export const createPolicies = (settings: PolicySettings): EntryPolicies => ({
  allowance: policyRegistry.allowance[settings.allowance](),
  choice: policyRegistry.choice[settings.choice](),
  queue: policyRegistry.queue[settings.queue](),
  records: policyRegistry.records[settings.records](),
  suspicion: policyRegistry.suspicion[settings.suspicion](),
  shift: policyRegistry.shift[settings.shift](),
  retries: settings.retryBudget === undefined ? new HostRetryBudget() : new FleetRetryBudget(settings.retryBudget),
  tolerance: settings.tolerance
})

/** Creates the default policies. */
export const defaultPolicies = (): EntryPolicies => ({ allowance: new LendingPolicy(), choice: new PowerOfTwoChoices(), queue: new MaxMinQueue(), records: new RendezvousRecords(), suspicion: new SharedSuspicion(), shift: new CappedShift(), retries: new HostRetryBudget() })

/** The start values of an entry host. */
export interface EntryWorldOptions {
  readonly self: Member
  /** Hosts to contact first. */
  readonly seeds: readonly Seed[]
  readonly blocks: BlockTable
  readonly randomSeed: number
  readonly policies: EntryPolicies
  readonly now: Millis
  /** Between which hosts gossip travels; defaults to `epidemic`, a few random hosts. */
  readonly dissemination?: DisseminationName
}

const createTables = (options: EntryWorldOptions): EntryTables => ({
  ...createMembership(options.self, options.seeds, options.now),
  configuration: createConfiguration(),
  recentChanges: new RecentChanges(),
  withdrawals: new RowTable<KeyDigest, Withdrawal>(row => row.digest),
  backends: createBackendTable(),
  ...createAffinityTables(),
  blocks: options.blocks,
  rankings: new RankingCache(),
  allowances: new RowTable<WorkspaceId, AllowanceRow>(row => row.workspace),
  parts: new AllowanceParts(options.policies.tolerance),
  exchanges: new RowTable<ExchangeId, ExchangeRow>(row => row.exchange, exchangeGroup),
  workTimes: new RowTable<string, WorkTimeRow>(row => row.key),
  rankDemand: createRankDemand(),
  congestion: createCongestion(),
  lifecycle: createLifecycle(),
  suspicions: new RowTable<SuspectId, SuspicionRow>(row => row.suspicion.suspect),
  journal: new Journal(),
  ...createBeliefs(),
  ...createShiftTables(),
  records: new RowTable<RecordKey, RecordRow>(row => row.key),
  claims: new RowTable<ExchangeId, ClaimRow>(row => row.exchange),
  homeHistory: { startedAt: options.now, current: [], changes: [], revision: -1 }
})

/** Creates the world of an entry host, with empty tables. */
export const createEntryWorld = (options: EntryWorldOptions): World<EntryTables, EntryInput, EntryOutput> => {
  const dissemination = createDissemination(options.dissemination ?? 'epidemic')
  const systems: Array<System<EntryTables, EntryInput, EntryOutput>> = [
    new StallSystem(),
    new GossipReceiveSystem(dissemination),
    new RefutationSystem(),
    new AnnouncementSystem(),
    new WarmupSystem(),
    new LookupSystem(),
    new NoticeSystem(),
    new AttemptSystem(options.policies.suspicion, options.policies.retries),
    new RequestSystem(options.policies.suspicion),
    new AdmissionSystem(options.policies.allowance),
    new ClaimSystem(options.policies.records),
    new DispatchSystem(options.policies),
    new StopSystem(),
    new BeliefSystem<EntryTables>([new PeerSource(), new BackendSource(), new ConfigurationSource(), new QuorumSource()]),
    new ConfirmationSystem(dissemination),
    new ProbeSystem(dissemination),
    new SpreadSystem(dissemination)
  ] as Array<System<EntryTables, EntryInput, EntryOutput>>
  return { tables: createTables(options), systems, random: new SeededRandom(options.randomSeed) }
}

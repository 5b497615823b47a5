/** Handles gossip messages: probes, rumors, digests, reports, configuration changes and snapshots. */

import type { HostId } from '../core/id.js'
import { NEVER } from '../core/tick.js'
import type { Millis, System } from '../core/tick.js'
import { confirmConfiguration, applyNextChange } from '../membership/changeTopic.js'
import { snapshotWithoutDocument } from '../plan/planDocument.js'
import { installSnapshot, takeSnapshot } from '../configuration/configurationTables.js'
import { MAX_RUMORS_PER_MESSAGE, currentVouch, mergeRumors, sendReply, sendToMember, sendSync, takePendingRumors } from './gossipSteps.js'
import type { GossipInput, GossipOutput, GossipTick } from './gossipSteps.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import { spreadRumor } from '../membership/spreadRumor.js'
import { announcementTopic, applyReports } from '../announcement/announcementTopic.js'
import { recordRoundTrip } from '../membership/roundTrips.js'
import type { Dissemination } from './dissemination.js'
import { differingRumors, readSyncState } from './syncDigest.js'
import type { GossipMessage, Rumor } from '../membership/types.js'

const gossipKinds: ReadonlySet<string> = new Set<GossipMessage['kind']>(['probe', 'probe-reply', 'rumors', 'sync', 'in-force', 'reports', 'fetch', 'changes', 'snapshot'])

const sendRumors = (tick: GossipTick, to: HostId, rumors: readonly Rumor[]): void => {
  for (let first = 0; first < rumors.length; first += MAX_RUMORS_PER_MESSAGE) {
    sendToMember(tick, to, { kind: 'rumors', rumors: rumors.slice(first, first + MAX_RUMORS_PER_MESSAGE) })
  }
}

const handleSync = (tick: GossipTick, from: HostId, message: Extract<GossipMessage, { kind: 'sync' }>, dissemination: Dissemination): void => {
  if (message.vouch !== null) mergeRumors(tick, [{ topic: 'vouch', vouch: message.vouch }], from)
  const sender = tick.tables.members.get(from)?.member
  // Rumors are sent first: a host that doesn't know this member yet can only reply once it has received the member rumor.
  const rumors = differingRumors(readSyncState(tick.tables, tick.now), message.digests)
  const { self } = tick.tables.gossip
  sendRumors(tick, from, sender === undefined ? rumors : rumors.filter(rumor => dissemination.offers(self, sender, rumor)))
  if (!message.reply && sender !== undefined) sendSync(tick, from, sender.link, true)
}

const recordPeerIndex = (tick: GossipTick, from: HostId, index: number): void => {
  recordReportedIndex(tick, from, index)
  if (index > tick.tables.configuration.index) tick.tables.gossip.fetchAt = Math.min(tick.tables.gossip.fetchAt, tick.now)
}

const answerFetch = (tick: GossipTick, to: HostId, after: number): void => {
  const { configuration, recentChanges } = tick.tables
  if (after >= configuration.index) return
  const changes = recentChanges.after(after)
  // The changes that are kept may end before the newest, if that came by a snapshot.
  const message: GossipMessage = changes?.at(-1)?.index !== configuration.index
    ? { kind: 'snapshot', snapshot: snapshotWithoutDocument(takeSnapshot(configuration)) }
    : { kind: 'changes', changes }
  sendReply(tick, to, message)
}

const recordReportedIndex = (tick: GossipTick, from: HostId, index: number): void => {
  const row = tick.tables.members.get(from)
  if (row !== undefined) row.index = Math.max(row.index, index)
}

const handleSnapshot = (tick: GossipTick, from: HostId, message: Extract<GossipMessage, { kind: 'snapshot' }>): void => {
  const { configuration, recentChanges, withdrawals } = tick.tables
  if (tick.tables.gossip.isAuthority || !installSnapshot(configuration, message.snapshot)) return
  tick.tables.gossip.configurationFrom = from
  recentChanges.clear()
  for (const key of message.snapshot.keys) {
    if (key.state === 'withdrawn') withdrawals.put({ digest: key.digest })
  }
  confirmConfiguration(tick.tables)
}

const introduces = (rumors: readonly Rumor[], host: HostId): boolean => rumors.some(rumor => rumor.topic === 'member' && rumor.member.host === host)

// A host that introduces itself asks for a vouch. It also learns which process runs here, and what this host believes of it.
const rumorsForReply = (tick: GossipTick, to: HostId, received: readonly Rumor[]): Rumor[] => {
  const { members, gossip } = tick.tables
  const pending = takePendingRumors(tick)
  if (!introduces(received, to)) return pending
  const known = members.get(to)?.member
  const vouch = currentVouch(tick)
  return [
    { topic: 'member', member: gossip.self },
    ...known === undefined || known.state === 'alive' ? [] : [{ topic: 'member' as const, member: known }],
    ...vouch === null ? [] : [{ topic: 'vouch' as const, vouch }],
    ...pending
  ]
}

const handleProbeReply = (tick: GossipTick, from: HostId, sequence: number): void => {
  const { probes, members, gossip } = tick.tables
  const probe = probes.get(from)
  if (probe?.sequence !== sequence) return
  probes.remove(from)
  const region = members.get(from)?.member.region
  if (region !== undefined) recordRoundTrip(gossip, region, tick.now - probe.sentAt)
}

const handleMessage = (tick: GossipTick, from: HostId, message: GossipMessage, dissemination: Dissemination): void => {
  switch (message.kind) {
    case 'probe':
      mergeRumors(tick, message.rumors, from)
      recordPeerIndex(tick, from, message.index)
      sendReply(tick, from, { kind: 'probe-reply', sequence: message.sequence, index: tick.tables.configuration.index, rumors: rumorsForReply(tick, from, message.rumors) })
      return
    case 'probe-reply':
      handleProbeReply(tick, from, message.sequence)
      mergeRumors(tick, message.rumors, from)
      recordPeerIndex(tick, from, message.index)
      return
    case 'rumors':
      mergeRumors(tick, message.rumors, from)
      return
    case 'sync':
      handleSync(tick, from, message, dissemination)
      return
    case 'reports':
      for (const announcement of applyReports(tick.tables, message.reports, from, tick.now)) spreadRumor(tick, announcementTopic, { topic: 'announcement', announcement })
      return
    case 'in-force':
      recordReportedIndex(tick, from, message.index)
      return
    case 'fetch':
      answerFetch(tick, from, message.after)
      return
    case 'changes':
      for (const change of message.changes) applyNextChange(tick, change, from)
      return
    case 'snapshot':
      handleSnapshot(tick, from, message)
  }
}

export class GossipReceiveSystem implements System<RumorTables, GossipInput, GossipOutput> {
  readonly name = 'gossip-receive'

  constructor (readonly dissemination: Dissemination) {}

  run (tick: GossipTick): void {
    for (const row of tick.inbox) {
      if (row.kind === 'message' && gossipKinds.has(row.message.kind)) handleMessage(tick, row.from, row.message, this.dissemination)
    }
  }

  deadline (): Millis { return NEVER }
}

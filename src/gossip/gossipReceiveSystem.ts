/** Takes in what other hosts say: probes, rumors, digests, changes and snapshots. */

import type { HostId } from '../core/id.js'
import { NEVER } from '../core/tick.js'
import type { Millis, System } from '../core/tick.js'
import { confirmConfiguration, takeChange } from '../membership/changeTopic.js'
import { snapshotWithoutDocument } from '../plan/planDocument.js'
import { installSnapshot, takeSnapshot } from '../configuration/configurationTables.js'
import { RUMORS_PER_MESSAGE, mergeRumors, replyTo, sendSync, takePendingRumors } from './gossipSteps.js'
import type { GossipInput, GossipOutput, GossipTick } from './gossipSteps.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import { spreadRumor } from '../membership/spreadRumor.js'
import { announcementTopic, applyReports } from '../announcement/announcementTopic.js'
import { noteRoundTrip } from '../membership/roundTrips.js'
import { differingRumors, readSyncState } from './syncDigest.js'
import type { GossipMessage, Rumor } from '../membership/types.js'

const gossipKinds: ReadonlySet<string> = new Set<GossipMessage['kind']>(['probe', 'probe-reply', 'rumors', 'sync', 'in-force', 'reports', 'fetch', 'changes', 'snapshot'])

const sendRumors = (tick: GossipTick, to: HostId, rumors: readonly Rumor[]): void => {
  for (let first = 0; first < rumors.length; first += RUMORS_PER_MESSAGE) {
    replyTo(tick, to, { kind: 'rumors', rumors: rumors.slice(first, first + RUMORS_PER_MESSAGE) })
  }
}

const takeSync = (tick: GossipTick, from: HostId, message: Extract<GossipMessage, { kind: 'sync' }>): void => {
  if (message.vouch !== null) mergeRumors(tick, [{ topic: 'vouch', vouch: message.vouch }])
  const sender = tick.tables.members.get(from)?.member
  // A host that nobody has told of us yet needs to hear who speaks before it can answer.
  sendRumors(tick, from, differingRumors(readSyncState(tick.tables, tick.now), message.digests))
  if (!message.reply && sender !== undefined) sendSync(tick, from, sender.link, true)
}

const noteIndex = (tick: GossipTick, from: HostId, index: number): void => {
  noteReport(tick, from, index)
  if (index > tick.tables.configuration.index) tick.tables.gossip.fetchAt = Math.min(tick.tables.gossip.fetchAt, tick.now)
}

const answerFetch = (tick: GossipTick, to: HostId, after: number): void => {
  const { configuration, recentChanges } = tick.tables
  if (after >= configuration.index) return
  const changes = recentChanges.after(after)
  const message: GossipMessage = changes === null
    ? { kind: 'snapshot', snapshot: snapshotWithoutDocument(takeSnapshot(configuration)) }
    : { kind: 'changes', changes }
  replyTo(tick, to, message)
}

const noteReport = (tick: GossipTick, from: HostId, index: number): void => {
  const row = tick.tables.members.get(from)
  if (row !== undefined) row.index = Math.max(row.index, index)
}

const takeSnapshotMessage = (tick: GossipTick, message: Extract<GossipMessage, { kind: 'snapshot' }>): void => {
  const { configuration, recentChanges, withdrawals } = tick.tables
  if (tick.tables.gossip.isAuthority || !installSnapshot(configuration, message.snapshot)) return
  recentChanges.clear()
  for (const key of message.snapshot.keys) {
    if (key.state === 'withdrawn') withdrawals.put({ digest: key.digest })
  }
  confirmConfiguration(tick.tables)
}

const takeProbeReply = (tick: GossipTick, from: HostId, sequence: number): void => {
  const { probes, members, gossip } = tick.tables
  const probe = probes.get(from)
  if (probe?.sequence !== sequence) return
  probes.remove(from)
  const region = members.get(from)?.member.region
  if (region !== undefined) noteRoundTrip(gossip, region, tick.now - probe.sentAt)
}

const takeMessage = (tick: GossipTick, from: HostId, message: GossipMessage): void => {
  switch (message.kind) {
    case 'probe':
      mergeRumors(tick, message.rumors)
      noteIndex(tick, from, message.index)
      replyTo(tick, from, { kind: 'probe-reply', sequence: message.sequence, index: tick.tables.configuration.index, rumors: takePendingRumors(tick) })
      return
    case 'probe-reply':
      takeProbeReply(tick, from, message.sequence)
      mergeRumors(tick, message.rumors)
      noteIndex(tick, from, message.index)
      return
    case 'rumors':
      mergeRumors(tick, message.rumors)
      return
    case 'sync':
      takeSync(tick, from, message)
      return
    case 'reports':
      for (const announcement of applyReports(tick.tables, message.reports, tick.now)) spreadRumor(tick, announcementTopic, { topic: 'announcement', announcement })
      return
    case 'in-force':
      noteReport(tick, from, message.index)
      return
    case 'fetch':
      answerFetch(tick, from, message.after)
      return
    case 'changes':
      for (const change of message.changes) takeChange(tick, change)
      return
    case 'snapshot':
      takeSnapshotMessage(tick, message)
  }
}

/** Takes in what other hosts say. */
export class GossipReceiveSystem implements System<RumorTables, GossipInput, GossipOutput> {
  readonly name = 'gossip-receive'

  run (tick: GossipTick): void {
    for (const row of tick.inbox) {
      if (row.kind === 'message' && gossipKinds.has(row.message.kind)) takeMessage(tick, row.from, row.message)
    }
  }

  deadline (): Millis { return NEVER }
}

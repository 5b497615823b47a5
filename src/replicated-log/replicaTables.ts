/** Builds the tables of a replica at startup from its disk image. */

import { toId } from '../core/id.js'
import type { HostId } from '../core/id.js'
import { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'
import type { LogIndex } from '../configuration/types.js'
import { LogTable } from './logTable.js'
import { ELECTION_TIMEOUT_MS, STARTUP_GRACE_MS } from './timing.js'
import type { CallId, DiskImage, Entry, FollowerRow, Group, JoinRow, LogTables, ProposalRow, ReadRow, Replica, ReplicaId } from './types.js'

/** Group of a replica that has not been admitted; without a group it never votes. */
export const EMPTY_GROUP: Group = { voters: [], learners: [] }

/** Returns the newest group in the log, committed or not; falls back to the group of the snapshot. */
export const latestGroup = (image: Pick<DiskImage, 'snapshot'>, entries: readonly Entry[]): Group => {
  for (let position = entries.length - 1; position >= 0; position -= 1) {
    const payload = entries[position]?.payload
    if (payload?.kind === 'group') return payload.group
  }
  return image.snapshot?.group ?? EMPTY_GROUP
}

/**
 * Creates the tables of a starting replica. It doesn't campaign or vote during the startup grace period, so that an existing
 * leader can contact it first.
 */
export const createLogTables = (self: Replica, image: DiskImage, now: Millis, electionAt: Millis): LogTables => {
  const base = image.snapshot
  const log = new LogTable(base?.index ?? 0, base?.term ?? 0, image.entries)
  return {
    replica: {
      self,
      role: 'follower',
      term: image.term,
      votedFor: image.votedFor,
      leader: null,
      commit: base?.index ?? 0,
      lastLeaderContactAt: now - ELECTION_TIMEOUT_MS + STARTUP_GRACE_MS,
      electionAt,
      nextHeartbeatAt: Number.POSITIVE_INFINITY,
      round: 0,
      roundSendTimes: new Map(),
      votes: new Set(),
      persistSequence: 0,
      syncedSequence: 0,
      unsynced: new Map(),
      syncedIndex: log.lastIndex,
      diskRefusesSince: null,
      group: latestGroup(image, image.entries),
      snapshot: base,
      admission: null,
      vouchSequence: 0,
      nextVouchAt: now
    },
    log,
    followers: new RowTable<ReplicaId, FollowerRow>(row => row.replica),
    proposals: new RowTable<LogIndex, ProposalRow>(row => row.index),
    joining: new RowTable<HostId, JoinRow>(row => row.host),
    reads: new RowTable<CallId, ReadRow>(row => row.call)
  }
}

/** The id of the first replica of a host. Only a host that founds the group has it. */
export const foundingReplicaId = (host: HostId): ReplicaId => toId<ReplicaId>(`${host}#0`)

/** Returns the initial disk image of a new group; apart from the replica's id it is identical on every founding member. */
export const foundingImage = (replica: ReplicaId, group: Group): DiskImage => ({
  replica,
  term: 0,
  votedFor: null,
  snapshot: null,
  entries: [{ index: 1, term: 0, payload: { kind: 'group', group } }]
})

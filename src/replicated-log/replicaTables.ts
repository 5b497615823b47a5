/** The tables of a replica at its start, from what its disk holds. */

import type { HostId } from '../core/id.js'
import { RowTable } from '../core/table.js'
import type { Millis } from '../core/tick.js'
import type { LogIndex } from '../configuration/types.js'
import { LogTable } from './logTable.js'
import { ELECTION_TIMEOUT_MS, STARTUP_GRACE_MS } from './timing.js'
import type { CallId, DiskImage, Entry, FollowerRow, Group, JoinRow, LogTables, ProposalRow, ReadRow, Replica, ReplicaId } from './types.js'

/** Nobody: a replica that has not been admitted knows no group and never votes. */
export const NO_GROUP: Group = { voters: [], learners: [] }

/** The newest group in the log, committed or not. */
export const latestGroup = (image: Pick<DiskImage, 'snapshot'>, entries: readonly Entry[]): Group => {
  for (let position = entries.length - 1; position >= 0; position -= 1) {
    const payload = entries[position]?.payload
    if (payload?.kind === 'group') return payload.group
  }
  return image.snapshot?.group ?? NO_GROUP
}

/** A replica as it starts; it gives a leader that is there time to be heard before it campaigns or votes. */
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
      leaderHeardAt: now - ELECTION_TIMEOUT_MS + STARTUP_GRACE_MS,
      electionAt,
      nextHeartbeatAt: Number.POSITIVE_INFINITY,
      round: 0,
      roundSendTimes: new Map(),
      votes: new Set(),
      persistSequence: 0,
      syncedSequence: 0,
      unsynced: new Map(),
      syncedIndex: log.lastIndex,
      group: latestGroup(image, image.entries),
      snapshot: base,
      admission: null,
      vouchSequence: 0,
      vouchAt: now
    },
    log,
    followers: new RowTable<ReplicaId, FollowerRow>(row => row.replica),
    proposals: new RowTable<LogIndex, ProposalRow>(row => row.index),
    joining: new RowTable<HostId, JoinRow>(row => row.host),
    reads: new RowTable<CallId, ReadRow>(row => row.call)
  }
}

/** The first disk image of a new group; every founding member makes the same one. */
export const foundingImage = (replica: ReplicaId, group: Group): DiskImage => ({
  replica,
  term: 0,
  votedFor: null,
  snapshot: null,
  entries: [{ index: 1, term: 0, payload: { kind: 'group', group } }]
})

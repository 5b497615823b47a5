/** Linearizable reads (read index): the leader answers once a quorum has acknowledged a round sent after the read arrived. */

import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import { isVoter, quorumSize } from './replicaSteps.js'
import type { LogTables, ReadAnswered, ReadRequested } from './types.js'

/** Time after which a read that no quorum has confirmed fails with `outcome-unknown`. */
const READ_TIMEOUT_MS: Millis = 800

type ReadInput = ReadRequested | { readonly kind: 'other' }
type ReadTick = Tick<LogTables, ReadInput, ReadAnswered>

// Returns the latest time at which a quorum is known to have had no later leader: the send time of the newest round that a quorum
// has acknowledged. The leader counts itself at the present time.
const quorumConfirmedAt = (tables: LogTables, now: Millis): Millis => {
  const times: Millis[] = isVoter(tables, tables.replica.self.replica) ? [now] : []
  for (const row of tables.followers.rows()) {
    if (isVoter(tables, row.replica)) times.push(row.ackedRoundSentAt)
  }
  times.sort((a, b) => b - a)
  return times[quorumSize(tables) - 1] ?? Number.NEGATIVE_INFINITY
}

/** Answers reads on the leader; other replicas reject them with `not-leader`. */
export class ReadSystem implements System<LogTables, ReadInput, ReadAnswered> {
  readonly name = 'read'

  run (tick: ReadTick): void {
    const { replica, reads } = tick.tables
    for (const row of tick.inbox) {
      if (row.kind !== 'read') continue
      reads.put({ call: row.call, askedAt: tick.now })
      replica.nextHeartbeatAt = Math.min(replica.nextHeartbeatAt, tick.now)
    }
    if (reads.size > 0) this.#answer(tick)
  }

  deadline (tables: LogTables): Millis {
    const oldest = tables.reads.first()
    return oldest === undefined ? NEVER : oldest.askedAt + READ_TIMEOUT_MS
  }

  #answer (tick: ReadTick): void {
    const { replica, reads, log } = tick.tables
    const isLeader = replica.role === 'leader'
    const hasCommittedInTerm = isLeader && log.termAt(replica.commit) === replica.term
    const newestConfirmedAt = hasCommittedInTerm ? quorumConfirmedAt(tick.tables, tick.now) : Number.NEGATIVE_INFINITY
    for (const row of [...reads.rows()]) {
      const isConfirmed = newestConfirmedAt >= row.askedAt
      if (isLeader && !isConfirmed && tick.now - row.askedAt < READ_TIMEOUT_MS) continue
      reads.remove(row.call)
      const error = isConfirmed ? null : isLeader ? { kind: 'outcome-unknown' as const } : { kind: 'not-leader' as const, leader: replica.leader }
      tick.emit({ kind: 'read-answer', call: row.call, error })
    }
  }
}

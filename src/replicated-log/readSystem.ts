/** Reads that a quorum vouches for: the leader answers once a round that it sent after the question has been confirmed. */

import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import { isVoter, quorumSize } from './replicaSteps.js'
import type { LogTables, ReadAnswered, ReadRequested } from './types.js'

/** A question without a confirmed round after this time gets no answer from here. */
const READ_PATIENCE: Millis = 800

type ReadInput = ReadRequested | { readonly kind: 'other' }
type ReadTick = Tick<LogTables, ReadInput, ReadAnswered>

// The leader itself counts at the present; a later leader cannot have been elected before a round that a quorum answered.
const confirmedAt = (tables: LogTables, now: Millis): Millis => {
  const times: Millis[] = isVoter(tables, tables.replica.self.replica) ? [now] : []
  for (const row of tables.followers.rows()) {
    if (isVoter(tables, row.replica)) times.push(row.ackedRoundSentAt)
  }
  times.sort((a, b) => b - a)
  return times[quorumSize(tables) - 1] ?? Number.NEGATIVE_INFINITY
}

/** Answers reads. */
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
    return oldest === undefined ? NEVER : oldest.askedAt + READ_PATIENCE
  }

  #answer (tick: ReadTick): void {
    const { replica, reads, log } = tick.tables
    const isLeader = replica.role === 'leader'
    const isSettled = isLeader && log.termAt(replica.commit) === replica.term
    const newest = isSettled ? confirmedAt(tick.tables, tick.now) : Number.NEGATIVE_INFINITY
    for (const row of [...reads.rows()]) {
      const isVouched = newest >= row.askedAt
      if (isLeader && !isVouched && tick.now - row.askedAt < READ_PATIENCE) continue
      reads.remove(row.call)
      const error = isVouched ? null : isLeader ? { kind: 'outcome-unknown' as const } : { kind: 'not-leader' as const, leader: replica.leader }
      tick.emit({ kind: 'read-answer', call: row.call, error })
    }
  }
}

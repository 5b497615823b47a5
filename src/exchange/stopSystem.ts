/** Graceful shutdown: leaves the look-up answers, still accepts requests while callers may hold cached answers, then completes the running exchanges. */

import { NEVER } from '../core/tick.js'
import type { Millis, System, Tick } from '../core/tick.js'
import { memberTopic } from '../membership/memberTopic.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import { spreadRumor } from '../membership/spreadRumor.js'
import { LAST_BYTES_MS, LEAVING_PERIOD_MS } from './lifecycle.js'
import type { ExchangeTables, ShutdownCompleted, StopRequested } from './types.js'

type StopTables = ExchangeTables & RumorTables
type StopInput = StopRequested | { readonly kind: 'other' }
type StopTick = Tick<StopTables, StopInput, ShutdownCompleted>

/** Runs the graceful shutdown. */
export class StopSystem implements System<StopTables, StopInput, ShutdownCompleted> {
  readonly name = 'stop'

  run (tick: StopTick): void {
    for (const row of tick.inbox) {
      if (row.kind === 'stop') this.#startLeaving(tick, row.withinMs ?? NEVER)
    }
    const { lifecycle, exchanges } = tick.tables
    if (lifecycle.phase !== 'leaving') return
    if (tick.now < lifecycle.leavingAt + LEAVING_PERIOD_MS || exchanges.size > 0) return
    lifecycle.phase = 'stopped'
    tick.emit({ kind: 'stopped' })
  }

  deadline (tables: StopTables): Millis {
    const { lifecycle, exchanges } = tables
    return lifecycle.phase === 'leaving' && exchanges.size === 0 ? lifecycle.leavingAt + LEAVING_PERIOD_MS : NEVER
  }

  #startLeaving (tick: StopTick, withinMs: Millis): void {
    const { lifecycle, gossip, members } = tick.tables
    if (lifecycle.phase !== 'serving') return
    lifecycle.phase = 'leaving'
    lifecycle.leavingAt = tick.now
    lifecycle.endBy = tick.now + withinMs - LAST_BYTES_MS
    gossip.self = { ...gossip.self, state: 'leaving', incarnation: gossip.self.incarnation + 1 }
    members.put({ member: gossip.self, changedAt: tick.now, index: 0 })
    spreadRumor(tick, memberTopic, { topic: 'member', member: gossip.self })
  }
}

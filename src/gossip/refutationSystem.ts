/** Tells hosts that take part what is believed of them, so that a suspicion lasts no longer than the evidence for it. */

import type { HostId } from '../core/id.js'
import { NEVER } from '../core/tick.js'
import type { Millis, System } from '../core/tick.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import { sendReply } from './gossipSteps.js'
import type { GossipInput, GossipOutput, GossipTick } from './gossipSteps.js'

/** Minimum time between two messages to the same host about its state. */
const TELL_INTERVAL_MS: Millis = 1_000

/** Sends its record to each host that counts as suspect or dead and yet sends messages; it answers with a newer one. */
export class RefutationSystem implements System<RumorTables, GossipInput, GossipOutput> {
  readonly name = 'refutation'
  readonly #toldAt = new Map<HostId, Millis>()

  run (tick: GossipTick): void {
    for (const row of tick.inbox) {
      if (row.kind === 'message') this.#tellIfDoubted(tick, row.from)
    }
  }

  deadline (): Millis { return NEVER }

  #tellIfDoubted (tick: GossipTick, host: HostId): void {
    const member = tick.tables.members.get(host)?.member
    if (member === undefined || (member.state !== 'suspect' && member.state !== 'dead')) return
    if (tick.now - (this.#toldAt.get(host) ?? -TELL_INTERVAL_MS) < TELL_INTERVAL_MS) return
    this.#toldAt.set(host, tick.now)
    sendReply(tick, host, { kind: 'rumors', rumors: [{ topic: 'member', member }] })
  }
}

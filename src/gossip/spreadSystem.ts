/** Sends new rumors, and reports to control hosts which configuration index is in force on this host. */

import { NEVER } from '../core/tick.js'
import type { HostId } from '../core/id.js'
import type { Millis, System } from '../core/tick.js'
import { MAX_RUMORS_PER_MESSAGE, rumorWithCurrentAge, sendTo } from './gossipSteps.js'
import type { GossipInput, GossipOutput, GossipTick } from './gossipSteps.js'
import { estimateCommandBytes } from '../plan/planSize.js'
import { PROBE_INTERVAL_MS } from './probeSystem.js'
import type { RumorTables } from '../membership/rumorTopic.js'
import type { Dissemination } from './dissemination.js'
import type { Member, Rumor, RumorRow } from '../membership/types.js'

/** Number of times that each index is sent to the control hosts, as reports may be lost; repeats are sent with the next probes. */
const SENDS_PER_INDEX_REPORT = 4

/** Larger changes are sent once: a probe carries several rumors, and each waits here until its last send. */
const MAX_REPEATED_CHANGE_BYTES = 64 * 1024

/** Rumors to send to one member. */
interface Parcel { readonly to: Member, readonly rumors: Rumor[] }

/** Sends the rumors that were queued; must run after the systems that queue rumors. */
export class SpreadSystem implements System<RumorTables, GossipInput, GossipOutput> {
  readonly name = 'spread'
  #waiting = new Map<string, RumorRow>()
  #flushAt: Millis = NEVER
  /** Revision of the rumors that were looked through last. */
  #revision = -1

  constructor (readonly dissemination: Dissemination) {}

  run (tick: GossipTick): void {
    this.#reportIndex(tick)
    if (tick.tables.rumors.revision !== this.#revision) this.#collectNew(tick)
    if (tick.now >= this.#flushAt) this.#flush(tick)
  }

  deadline (): Millis { return this.#flushAt }

  #collectNew (tick: GossipTick): void {
    this.#revision = tick.tables.rumors.revision
    for (const row of tick.tables.rumors.rows()) {
      if (row.heardAt !== tick.now) continue
      this.#waiting.set(row.key, row)
      const delayMs = this.dissemination.isUrgent(row.rumor) ? 0 : this.dissemination.batchMs
      this.#flushAt = Math.min(this.#flushAt, tick.now + delayMs)
    }
  }

  // Control hosts use the reports to show operators where a change is in force.
  #reportIndex (tick: GossipTick): void {
    const { gossip, configuration } = tick.tables
    if (gossip.isAuthority) return
    if (gossip.reportedIndex !== configuration.index) {
      gossip.reportedIndex = configuration.index
      gossip.reportsLeft = SENDS_PER_INDEX_REPORT
    } else if (gossip.reportsLeft === 0 || gossip.nextProbeAt !== tick.now + PROBE_INTERVAL_MS) {
      return
    }
    gossip.reportsLeft -= 1
    for (const control of this.dissemination.indexReportTargets(tick.tables)) {
      sendTo(tick, control.host, control.link, { kind: 'in-force', index: configuration.index })
    }
  }

  #flush (tick: GossipTick): void {
    const rows = [...this.#waiting.values()]
    this.#waiting = new Map()
    this.#flushAt = NEVER
    for (const { to, rumors } of this.#pack(tick, rows)) {
      for (let first = 0; first < rumors.length; first += MAX_RUMORS_PER_MESSAGE) {
        sendTo(tick, to.host, to.link, { kind: 'rumors', rumors: rumors.slice(first, first + MAX_RUMORS_PER_MESSAGE) })
      }
    }
    const { rumors } = tick.tables
    for (const row of rows) {
      if (rumors.get(row.key) === row && !this.#isRetransmitted(row.rumor)) rumors.remove(row.key)
    }
    for (const row of [...rumors.rows()]) {
      if (row.remainingSends <= 0) rumors.remove(row.key)
    }
  }

  // A host that misses a large change fetches it once the next vouch has told of it.
  #isRetransmitted (rumor: Rumor): boolean {
    if (rumor.topic === 'change' && estimateCommandBytes(rumor.change.envelope) > MAX_REPEATED_CHANGE_BYTES) return false
    return this.dissemination.isRetransmitted(rumor)
  }

  #pack (tick: GossipTick, rows: readonly RumorRow[]): Iterable<Parcel> {
    const parcels = new Map<HostId, Parcel>()
    const targetsOf = this.dissemination.router(tick)
    for (const row of rows) {
      const rumor = rumorWithCurrentAge(row, tick.now)
      for (const to of targetsOf(row)) {
        const parcel = parcels.get(to.host)
        if (parcel === undefined) parcels.set(to.host, { to, rumors: [rumor] })
        else parcel.rumors.push(rumor)
      }
    }
    return parcels.values()
  }
}

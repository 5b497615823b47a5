/** Simulates a fleet of hosts in one process under a virtual clock, over a network that can delay, lose, duplicate and block messages. */

import type { HostId } from '../core/id.js'
import { SeededRandom } from '../core/random.js'
import type { Random } from '../core/random.js'
import { invariant } from '../core/outcome.js'
import { nextDeadline, runTick } from '../core/tick.js'
import type { Millis, World } from '../core/tick.js'
import type { MessageSent } from '../membership/types.js'

/** A simulated host of any role. */
export interface VirtualNode {
  readonly host: HostId
  readonly world: World<any, any, any>
  /** Handles each outbox row of a tick. */
  readonly onOutput: (node: VirtualNode, row: any) => void
  inbox: unknown[]
  /** Whether the process is suspended: it does not run, but keeps its inbox and receives messages. */
  isFrozen: boolean
  /** Whether the process has stopped: it does not run, and messages to it are lost. */
  isDown: boolean
}

/** Simulated network conditions. */
export interface VirtualNetwork {
  delay: (from: HostId, to: HostId) => Millis
  /** Probability that a message is lost, 0 to 1. */
  loss: number
  /** Probability that a message is delivered twice, 0 to 1. */
  doubled: number
  /** Upper bound of a random extra delay that reorders messages. */
  jitter: Millis
  isPartitioned: (from: HostId, to: HostId) => boolean
}

interface ScheduledEvent { readonly at: Millis, readonly order: number, readonly run: () => void }

/** Runs simulated hosts and scheduled events under a virtual clock. The same seed gives the same run. */
export class VirtualFleet {
  now: Millis = 0
  readonly nodes = new Map<HostId, VirtualNode>()
  readonly random: Random
  readonly network: VirtualNetwork = { delay: () => 1, loss: 0, doubled: 0, jitter: 0, isPartitioned: () => false }
  /** Number of messages sent, including lost ones. */
  messageCount = 0
  #events: ScheduledEvent[] = []
  #scheduledCount = 0

  constructor (seed: number) { this.random = new SeededRandom(seed) }

  add (host: HostId, world: World<any, any, any>, onOutput: VirtualNode['onOutput']): VirtualNode {
    const node: VirtualNode = { host, world, onOutput, inbox: [], isFrozen: false, isDown: false }
    this.nodes.set(host, node)
    return node
  }

  /** Adds an input row to a host's inbox. */
  push (host: HostId, row: unknown): void { this.nodes.get(host)?.inbox.push(row) }

  /** Runs a function after a delay. Events at the same time run in the order of scheduling. */
  schedule (delay: Millis, run: () => void): void {
    this.#scheduledCount += 1
    const event: ScheduledEvent = { at: this.now + delay, order: this.#scheduledCount, run }
    let low = 0
    let high = this.#events.length
    while (low < high) {
      const middle = (low + high) >>> 1
      const other = this.#events[middle]
      if (other !== undefined && (other.at < event.at || (other.at === event.at && other.order < event.order))) low = middle + 1
      else high = middle
    }
    this.#events.splice(low, 0, event)
  }

  /** Sends a message over the simulated network. */
  send (from: HostId, row: MessageSent<unknown>): void {
    this.messageCount += 1
    const { network, random } = this
    if (network.isPartitioned(from, row.to) || (network.loss > 0 && random.unit() < network.loss)) return
    const copies = network.doubled > 0 && random.unit() < network.doubled ? 2 : 1
    for (let copy = 0; copy < copies; copy += 1) {
      const jitter = network.jitter > 0 ? random.unit() * network.jitter : 0
      this.schedule(network.delay(from, row.to) + jitter, () => {
        const node = this.nodes.get(row.to)
        if (node !== undefined && !node.isDown && !network.isPartitioned(from, row.to)) node.inbox.push({ kind: 'message', from, message: row.message })
      })
    }
  }

  /** Processes events, inputs and deadlines up to the given time. */
  runUntil (end: Millis): void {
    for (;;) {
      this.#tickReady()
      const next = this.#nextTime()
      if (next > end) break
      this.now = Math.max(this.now, next)
      while (this.#events[0] !== undefined && this.#events[0].at <= this.now) this.#events.shift()?.run()
    }
    this.now = end
  }

  runFor (duration: Millis): void { this.runUntil(this.now + duration) }

  #nextTime (): Millis {
    let next = this.#events[0]?.at ?? Number.POSITIVE_INFINITY
    for (const node of this.nodes.values()) {
      if (!node.isDown && !node.isFrozen) next = Math.min(next, nextDeadline(node.world))
    }
    return next
  }

  #tickReady (): void {
    for (const node of [...this.nodes.values()]) {
      if (node.isDown || node.isFrozen) continue
      if (node.inbox.length === 0 && nextDeadline(node.world) > this.now) continue
      const inbox = node.inbox
      node.inbox = []
      for (const row of runTick(node.world, this.now, inbox)) node.onOutput(node, row)
      // A deadline that is still due after the tick would make the process run ticks without pause.
      const stuck = node.world.systems.find(system => system.deadline(node.world.tables) <= this.now)
      invariant(stuck === undefined, `system ${stuck?.name ?? ''} on ${node.host} still has a deadline that is due after a tick`)
    }
  }
}

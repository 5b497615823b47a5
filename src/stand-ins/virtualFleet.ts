/** Worlds in one process under a virtual clock: messages between them are delayed, lost, doubled and cut as a test says. */

import type { HostId } from '../core/id.js'
import { SeededRandom } from '../core/random.js'
import type { Random } from '../core/random.js'
import { invariant } from '../core/outcome.js'
import { nextDeadline, runTick } from '../core/tick.js'
import type { Millis, World } from '../core/tick.js'
import type { MessageSent } from '../membership/types.js'

/** A world of any role as the fleet runs it. */
export interface VirtualNode {
  readonly host: HostId
  readonly world: World<any, any, any>
  /** Takes every outbox row that is no message. */
  readonly onOutput: (node: VirtualNode, row: any) => void
  inbox: unknown[]
  /** A frozen process neither runs nor loses what is sent to it. */
  isFrozen: boolean
  isDown: boolean
}

/** How the network between hosts behaves. */
export interface VirtualNetwork {
  delay: (from: HostId, to: HostId) => Millis
  /** Part of messages that are lost, 0 to 1. */
  loss: number
  /** Part of messages that come twice, 0 to 1. */
  doubled: number
  /** Random extra delay that lets messages overtake each other. */
  jitter: Millis
  isPartitioned: (from: HostId, to: HostId) => boolean
}

interface Event { readonly at: Millis, readonly order: number, readonly run: () => void }

/** A fleet under a virtual clock. */
export class VirtualFleet {
  now: Millis = 0
  readonly nodes = new Map<HostId, VirtualNode>()
  readonly random: Random
  readonly network: VirtualNetwork = { delay: () => 1, loss: 0, doubled: 0, jitter: 0, isPartitioned: () => false }
  /** Bytes are not counted here; messages are. */
  messageCount = 0
  #events: Event[] = []
  #order = 0

  constructor (seed: number) { this.random = new SeededRandom(seed) }

  add (host: HostId, world: World<any, any, any>, onOutput: VirtualNode['onOutput']): VirtualNode {
    const node: VirtualNode = { host, world, onOutput, inbox: [], isFrozen: false, isDown: false }
    this.nodes.set(host, node)
    return node
  }

  /** Queues an input row for a host at the present time. */
  push (host: HostId, row: unknown): void { this.nodes.get(host)?.inbox.push(row) }

  /** Runs something later. */
  schedule (delay: Millis, run: () => void): void {
    this.#order += 1
    const event: Event = { at: this.now + delay, order: this.#order, run }
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

  /** Sends a message over the network. */
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

  /** Runs events, inputs and deadlines up to a time. */
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
      // A deadline that stays due would make the process spin.
      const stuck = node.world.systems.find(system => system.deadline(node.world.tables) <= this.now)
      invariant(stuck === undefined, `system ${stuck?.name ?? ''} on ${node.host} leaves its deadline due`)
    }
  }
}

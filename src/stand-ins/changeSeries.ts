/** A virtual fleet of control and entry hosts in which operators make one change after another, and how long each takes to be in force. */

import { toId } from '../core/id.js'
import type { HostId, OperatorId, RequestId, ZoneId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import type { CommandEnvelope, LogIndex } from '../configuration/types.js'
import type { Plan } from '../plan/types.js'
import type { CallId } from '../replicated-log/types.js'
import { ConfigurationBuilder, defaultTerms } from './configurationBuilder.js'
import { founderSeeds, startRegionalControl } from './regionalControl.js'
import type { VirtualControl } from './virtualControl.js'
import { VirtualEntry } from './virtualEntry.js'
import { VirtualFleet } from './virtualFleet.js'
import { createLocations, delayByRegion } from './virtualTopology.js'

/** Time in which the fleet forms before the first change. */
const START_MS: Millis = 15_000
/** Time after which an operator sends an unanswered change to the next control host. */
const OPERATOR_TIMEOUT_MS: Millis = 1_000
const SAMPLE_MS: Millis = 20
const AUTHORITY = 'a.example'
const PREFIX = '/read/'
const SLOTS = 20
const WORK_MS: Millis = 40

const plan: Plan = {
  version: 1,
  terms: { ...defaultTerms, shiftCap: 1 },
  routes: [{ route: toId('read'), authority: AUTHORITY, prefix: PREFIX, repetition: 'idempotent', timeoutMs: 2_000, targetMs: 500, rank: 0, split: [{ service: toId('s'), weight: 1 }], attempts: 2, isOpen: true, hasAffinity: false, allowedRegions: [] }],
  services: [{ service: toId('s'), healthPath: '/health', connections: 100, warmup: { coldMs: 0, ratePerS: 100 } }],
  workspaces: [],
  document: null
}

/** A change that a control host has acknowledged. */
interface AcknowledgedChange { readonly index: LogIndex, readonly at: Millis }

/** A change that no control host has acknowledged yet. */
interface PendingChange { readonly envelope: CommandEnvelope, readonly call: CallId, readonly sentAt: Millis }

/** Bounds of the random stalls of a host that gets too little processor time. */
export interface Starvation { readonly runMs: Millis, readonly minStallMs: Millis, readonly maxStallMs: Millis }

/** Runs a fleet under a steady series of changes and watches how far each entry host lags behind the acknowledged ones. */
export class ChangeSeries {
  readonly fleet: VirtualFleet
  readonly control: VirtualControl
  readonly entry: VirtualEntry
  /** The entry hosts. */
  readonly hosts: readonly HostId[]
  readonly acknowledged: AcknowledgedChange[] = []
  /** Longest time for which a running entry host has lacked an acknowledged change, while it was watched. */
  longestLagMs: Millis = 0
  /** Host and time of the longest lag. */
  longestLagOn = ''
  /** Time from which the lag counts. */
  watchedFrom: Millis = 0
  #changeCount = 0
  #sendCount = 0
  /** The change that waits for its acknowledgement; null if there is none. */
  #pending: PendingChange | null = null
  #nextChangeAt: Millis = 0

  constructor (seed: number, hostsPerZone = 4) {
    this.fleet = new VirtualFleet(seed)
    this.fleet.network.delay = delayByRegion(35)
    this.control = startRegionalControl(this.fleet)
    const locations = createLocations(['n', 'm', 's'], 2, hostsPerZone)
    this.entry = new VirtualEntry(this.fleet, locations, { ...new ConfigurationBuilder().snapshot(), index: 0 }, undefined, 'tiered', founderSeeds(this.control))
    this.hosts = locations.map(({ host }) => toId<HostId>(host))
    for (const host of this.hosts) Object.assign(this.entry.tables(host).gossip, { vouch: null, confirmedAt: null })
    for (const zone of new Set(locations.map(location => location.zone))) this.entry.addServer('s', `server-${zone}`, zone, SLOTS, WORK_MS)
    this.fleet.runFor(START_MS)
    this.#send({ requestId: toId<RequestId>('plan'), operator: toId<OperatorId>('ann'), roles: ['draft', 'approve', 'assign'], command: { kind: 'put-plan', plan } })
    this.fleet.runFor(START_MS)
    this.watchedFrom = this.fleet.now
  }

  /** Sends requests to all entry hosts in turn for a time. */
  sendLoad (perSecond: number, forMs: Millis): void {
    const intervalMs = 1_000 / perSecond
    for (let number = 0; number * intervalMs < forMs; number += 1) {
      const host = this.hosts[number % this.hosts.length] ?? ''
      this.fleet.schedule(number * intervalMs, () => { this.entry.send(host, { service: 's', workspace: '', authority: AUTHORITY, path: `${PREFIX}${number}` }) })
    }
  }

  /** Lets an entry host run only between random stalls, as under a processor that others use up. */
  starve (host: HostId, { runMs, minStallMs, maxStallMs }: Starvation): void {
    const stall = (): void => {
      const node = this.fleet.nodes.get(host)
      if (node === undefined) return
      node.isFrozen = true
      this.fleet.schedule(minStallMs + this.fleet.random.below(maxStallMs - minStallMs), () => {
        node.isFrozen = false
        this.fleet.schedule(runMs, stall)
      })
    }
    this.fleet.schedule(this.fleet.random.below(maxStallMs), stall)
  }

  /** Kills control hosts and starts each again after `downMs` and a random delay of up to `spreadMs`. */
  restart (hosts: readonly HostId[], downMs: Millis, spreadMs: Millis): void {
    for (const host of hosts) this.control.restart(host, downMs, spreadMs)
  }

  /** Makes a change every `intervalMs` for a time; a change is sent again until a control host acknowledges it. */
  runFor (durationMs: Millis, intervalMs: Millis): void {
    const end = this.fleet.now + durationMs
    while (this.fleet.now < end) {
      if (this.#pending === null && this.fleet.now >= this.#nextChangeAt) {
        const envelope = this.#nextChange()
        this.#pending = { envelope, call: this.#send(envelope), sentAt: this.fleet.now }
        this.#nextChangeAt = this.fleet.now + intervalMs
      }
      this.fleet.runFor(SAMPLE_MS)
      this.#pending = this.#settle(this.#pending)
      this.#sample()
    }
  }

  #nextChange (): CommandEnvelope {
    this.#changeCount += 1
    const zone = toId<ZoneId>(`zone-${this.#changeCount}`)
    return { requestId: toId<RequestId>(`change-${this.#changeCount}`), operator: toId<OperatorId>('ann'), roles: ['assign'], command: { kind: 'start-evacuation', zone } }
  }

  #send (envelope: CommandEnvelope): CallId {
    const [leader] = this.control.leaders()
    const host = leader ?? this.control.hosts[this.#sendCount % this.control.hosts.length]
    this.#sendCount += 1
    if (host === undefined) throw new Error('no control host')
    return this.control.propose(host, envelope)
  }

  // Returns the change if it still waits for an acknowledgement.
  #settle (pending: PendingChange | null): PendingChange | null {
    if (pending === null) return null
    const answer = this.control.proposalAnswers.get(pending.call)
    if (answer?.receipt !== null && answer?.receipt !== undefined) {
      this.acknowledged.push({ index: answer.receipt.index, at: this.fleet.now })
      return null
    }
    if (answer === undefined && this.fleet.now - pending.sentAt < OPERATOR_TIMEOUT_MS) return pending
    return { envelope: pending.envelope, call: this.#send(pending.envelope), sentAt: this.fleet.now }
  }

  #sample (): void {
    const { now } = this.fleet
    if (now < this.watchedFrom) return
    for (const host of this.hosts) {
      const { index } = this.entry.tables(host).configuration
      const missing = this.acknowledged.find(change => change.index > index)
      const lagMs = missing === undefined ? 0 : now - missing.at
      if (lagMs <= this.longestLagMs) continue
      this.longestLagMs = lagMs
      this.longestLagOn = `${host} at ${now}, index ${index}`
    }
  }
}

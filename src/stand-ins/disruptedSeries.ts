/** A series of changes beside random losses of control and entry hosts, within what may be lost at once, and a final fault. */

import type { HostId } from '../core/id.js'
import { SeededRandom, pick } from '../core/random.js'
import type { Millis } from '../core/tick.js'
import type { LogIndex } from '../configuration/types.js'
import type { CallId } from '../replicated-log/types.js'
import { ChangeSeries } from './changeSeries.js'

/** Time after its return from which a host no longer counts as lost, and from which the group counts as calm. */
const SYNCED_MS: Millis = 4_000
/** Longest time until an acknowledged change is in force on every entry host, while the group is calm. */
const IN_FORCE_MS: Millis = 2_500
/** Time in which changes are confirmed and all entry hosts have them, once all hosts are back. */
const RECOVERY_MS: Millis = 15_000
/** Time in which a change is confirmed while nothing is lost. */
const CONFIRMATION_MS: Millis = 6_000
/** Disks that may be lost at once. */
const MAX_LOST_DISKS = 2
const HOSTS_PER_ZONE = 1
const SAMPLE_MS: Millis = 50
const STEP_MS: Millis = 100
const GAPS_MS: readonly Millis[] = [100, 300, 700, 1_500, 3_000, 5_000, 9_000]
const CHANGE_INTERVALS_MS: readonly Millis[] = [120, 300, 900]
const SYNCS_MS: readonly Millis[] = [1, 5, 40]

interface PendingRead { readonly call: CallId, readonly host: HostId, readonly acknowledged: LogIndex }

/** Plays one seeded run and collects what it finds broken. */
export class DisruptedSeries {
  readonly findings: string[] = []
  readonly #random: SeededRandom
  readonly #series: ChangeSeries
  readonly #changeIntervalMs: Millis
  readonly #lostUntil = new Map<HostId, Millis>()
  readonly #diskLostUntil = new Map<HostId, Millis>()
  readonly #cutUntil = new Map<string, Millis>()
  #reads: PendingRead[] = []
  #calmFrom: Millis
  /** Whether messages across a cut arrive once it heals, as over a connection, rather than never. */
  #holdsMessages = true

  constructor (seed: number) {
    this.#random = new SeededRandom(seed * 7_919)
    this.#series = new ChangeSeries(seed, HOSTS_PER_ZONE)
    this.#changeIntervalMs = this.#pickFrom(CHANGE_INTERVALS_MS)
    const { fleet, control } = this.#series
    control.syncMs = this.#pickFrom(SYNCS_MS)
    this.#calmFrom = fleet.now + SYNCED_MS
    const usualDelay = fleet.network.delay
    fleet.network.isPartitioned = (from, to) => !this.#holdsMessages && this.#cutLeft(from, to) > 0
    fleet.network.delay = (from, to) => (this.#holdsMessages ? this.#cutLeft(from, to) : 0) + usualDelay(from, to)
    fleet.schedule(SAMPLE_MS, () => { this.#sample() })
  }

  /** Plays losses in turn, then the final fault, and returns the findings. */
  play (): readonly string[] {
    const rounds = 2 + this.#random.below(7)
    for (let round = 0; round < rounds; round += 1) {
      this.#loseSome()
      this.#run(this.#pickFrom(GAPS_MS))
    }
    while (this.#lostHosts().length > 0) this.#run(STEP_MS)
    this.#playFinalFault()
    return this.findings
  }

  get #now (): Millis { return this.#series.fleet.now }

  get #hosts (): readonly HostId[] { return this.#series.control.hosts }

  get #newestAcknowledged (): LogIndex { return Math.max(0, ...this.#series.acknowledged.map(change => change.index)) }

  #pickFrom<T> (list: readonly T[]): T { return pick(this.#random, list) as T }

  #shuffle<T> (list: readonly T[]): T[] {
    const left = [...list]
    const order: T[] = []
    while (left.length > 0) order.push(...left.splice(this.#random.below(left.length), 1))
    return order
  }

  #run (forMs: Millis): void { this.#series.runFor(forMs, this.#changeIntervalMs) }

  #cutLeft (from: HostId, to: HostId): Millis { return Math.max(0, (this.#cutUntil.get(`${from} ${to}`) ?? 0) - this.#now) }

  #isLost (host: HostId): boolean { return (this.#lostUntil.get(host) ?? 0) > this.#now }

  #lostHosts (): HostId[] { return this.#hosts.filter(host => this.#isLost(host)) }

  #hasLostDisk (host: HostId): boolean { return (this.#diskLostUntil.get(host) ?? 0) > this.#now }

  // A disk that is being filled again takes as long again when its host is lost meanwhile.
  #markLost (host: HostId, forMs: Millis, losesDisk: boolean): void {
    const until = this.#now + forMs + SYNCED_MS
    this.#lostUntil.set(host, Math.max(until, this.#lostUntil.get(host) ?? 0))
    if (losesDisk || this.#hasLostDisk(host)) this.#diskLostUntil.set(host, until)
    this.#calmFrom = Math.max(this.#calmFrom, this.#now + SYNCED_MS)
  }

  #markReturn (): void { this.#calmFrom = Math.max(this.#calmFrom, this.#now + SYNCED_MS) }

  #kill (host: HostId, downMs: Millis, wantsDisk: boolean): void {
    const { fleet, control } = this.#series
    const lostDisks = this.#hosts.filter(other => this.#hasLostDisk(other)).length
    const losesDisk = wantsDisk && (this.#hasLostDisk(host) || lostDisks < MAX_LOST_DISKS)
    control.kill(host)
    this.#markLost(host, downMs, losesDisk)
    fleet.schedule(downMs, () => {
      if (losesDisk) control.wipeDisk(host)
      control.start(host)
      this.#markReturn()
    })
  }

  #freeze (host: HostId, forMs: Millis): void {
    const { fleet } = this.#series
    const node = fleet.nodes.get(host)
    if (node === undefined) return
    node.isFrozen = true
    this.#markLost(host, forMs, false)
    fleet.schedule(forMs, () => {
      node.isFrozen = false
      this.#markReturn()
    })
  }

  #cut (group: readonly HostId[], others: readonly HostId[], forMs: Millis): void {
    this.#holdsMessages = this.#random.below(2) === 0
    const until = this.#now + forMs
    for (const host of group) {
      for (const other of others) {
        if (group.includes(other)) continue
        this.#cutUntil.set(`${host} ${other}`, until)
        this.#cutUntil.set(`${other} ${host}`, until)
      }
      this.#markLost(host, forMs, false)
    }
    this.#series.fleet.schedule(forMs, () => { this.#markReturn() })
  }

  // Neither half has a quorum, so what is being repaired takes as long again, and the group is not calm.
  #splitInHalves (forMs: Millis): void {
    this.#cut(this.#shuffle(this.#hosts).slice(0, this.#hosts.length / 2), this.#hosts, forMs)
    for (const host of this.#hosts) this.#markLost(host, forMs, false)
    this.#calmFrom = this.#now + forMs + SYNCED_MS
  }

  #loseEntryHost (): void {
    const { fleet, entry } = this.#series
    const location = this.#pickFrom(entry.locations)
    const host = location.host as HostId
    const node = fleet.nodes.get(host)
    if (node !== undefined) node.isDown = true
    const downMs = 300 + this.#random.below(2_000)
    this.#lostUntil.set(host, this.#now + downMs + SYNCED_MS)
    fleet.schedule(downMs, () => { entry.startHost(location, false) })
  }

  #loseSome (): void {
    const returning = this.#lostHosts().filter(host => this.#isRunning(host))
    if (returning.length > 0 && this.#random.below(2) === 0) {
      this.#loseOne(this.#pickFrom(returning))
      return
    }
    const budget = MAX_LOST_DISKS - this.#lostHosts().length
    const count = Math.min(budget, 1 + this.#random.below(2))
    const chosen = this.#shuffle(this.#hosts.filter(host => !this.#isLost(host))).slice(0, Math.max(0, count))
    const kind = this.#random.below(8)
    if (kind < 4) for (const host of chosen) this.#loseOne(host)
    else if (kind === 4) this.#cut(chosen, this.#random.below(2) === 0 ? this.#hosts : [...this.#hosts, ...this.#series.hosts], 1_000 + this.#random.below(5_500))
    else if (kind === 5 && budget === MAX_LOST_DISKS) this.#splitInHalves(1_000 + this.#random.below(5_500))
    else if (kind === 6 && budget === MAX_LOST_DISKS) for (const host of this.#hosts) this.#kill(host, 300 + this.#random.below(1_000), false)
    else this.#loseEntryHost()
  }

  #loseOne (host: HostId): void {
    const kind = this.#random.below(4)
    if (kind === 3) this.#freeze(host, 500 + this.#random.below(6_000))
    else this.#kill(host, 300 + this.#random.below(3_000), kind < 2)
  }

  #playFinalFault (): void {
    this.#confirmOne()
    const { control, entry, fleet } = this.#series
    const leader = control.leaders()[0]
    const first = leader !== undefined && this.#random.below(2) === 0 ? [leader] : []
    const wiped = [...new Set([...first, ...this.#shuffle(this.#hosts)])].slice(0, this.#pickFrom([0, MAX_LOST_DISKS, MAX_LOST_DISKS]))
    const takesOthers = this.#random.below(4) > 0
    const acknowledged = this.#newestAcknowledged
    const count = this.#series.acknowledged.length
    let backAt = this.#now
    for (const host of this.#hosts) {
      if (!takesOthers && !wiped.includes(host)) continue
      const downMs = 500 + this.#random.below(2_500)
      backAt = Math.max(backAt, this.#now + downMs)
      this.#kill(host, downMs, wiped.includes(host))
    }
    if (takesOthers && this.#random.below(2) === 0) {
      for (const location of entry.locations) {
        const node = fleet.nodes.get(location.host as HostId)
        if (node !== undefined) node.isDown = true
        this.#lostUntil.set(location.host as HostId, backAt + SYNCED_MS)
        fleet.schedule(500 + this.#random.below(2_000), () => { entry.startHost(location, false) })
      }
    }
    this.#run(backAt - this.#now + RECOVERY_MS)
    this.#checkReturn(acknowledged, count)
  }

  #confirmOne (): void {
    const count = this.#series.acknowledged.length
    const end = this.#now + CONFIRMATION_MS
    while (this.#series.acknowledged.length === count && this.#now < end) this.#run(STEP_MS)
    if (this.#series.acknowledged.length === count) this.findings.push('no change is confirmed although nothing is lost')
  }

  #checkReturn (acknowledged: LogIndex, count: number): void {
    const { control, entry, hosts } = this.#series
    if (this.#series.acknowledged.length === count) this.findings.push('no change is confirmed after the return')
    for (const host of this.#hosts) {
      if (control.tables(host).configuration.index < acknowledged) this.findings.push(`${host} lacks what was acknowledged before the final fault`)
    }
    for (const host of hosts) {
      const { gossip, configuration } = entry.tables(host)
      if (gossip.confirmedAt === null || configuration.index < acknowledged) this.findings.push(`${host} has no configuration as new as before the final fault`)
    }
    const leader = control.leaders()[0]
    if (leader !== undefined && control.tables(leader).configuration.evacuations.size < this.#series.acknowledged.length) this.findings.push('acknowledged changes are lost')
  }

  #isRunning (host: HostId): boolean {
    const node = this.#series.fleet.nodes.get(host)
    return node !== undefined && !node.isDown && !node.isFrozen
  }

  #sample (): void {
    this.#sampleReads()
    if (this.#hosts.filter(host => this.#isRunning(host)).length <= this.#hosts.length / 2) this.#markReturn()
    if (this.#now >= this.#calmFrom) this.#sampleLags()
    this.#series.fleet.schedule(SAMPLE_MS, () => { this.#sample() })
  }

  // No host answers a read with an older configuration than was acknowledged before it.
  #sampleReads (): void {
    const { control } = this.#series
    const running = this.#hosts.filter(host => this.#isRunning(host))
    const host = this.#random.below(4) === 0 ? pick(this.#random, running) : undefined
    if (host !== undefined) this.#reads.push({ call: control.read(host), host, acknowledged: this.#newestAcknowledged })
    const waiting: PendingRead[] = []
    for (const read of this.#reads) {
      const answer = control.readAnswers.get(read.call)
      if (answer === undefined) waiting.push(read)
      else if (answer.error === null && control.tables(read.host).configuration.index < read.acknowledged) this.findings.push(`${read.host} answers a read with an older configuration`)
    }
    this.#reads = waiting
  }

  // While the group is calm, every entry host that was not lost itself has each change in time.
  #sampleLags (): void {
    for (const host of this.#series.hosts) {
      const { gossip, configuration } = this.#series.entry.tables(host)
      if (this.#isLost(host) || gossip.confirmedAt === null) continue
      const missing = this.#series.acknowledged.find(change => change.index > configuration.index)
      if (missing === undefined || this.#now - missing.at <= IN_FORCE_MS) continue
      const finding = `${host} lacks change ${missing.index}`
      if (!this.findings.includes(finding)) this.findings.push(finding)
    }
  }
}

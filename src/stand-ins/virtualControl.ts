/** Control hosts of a virtual fleet. Each has a simulated disk that loses unsynced writes when its host is killed. */

import { toId } from '../core/id.js'
import type { HostId } from '../core/id.js'
import type { Millis, World } from '../core/tick.js'
import { createControlWorld } from '../control/controlWorld.js'
import type { ControlInput, ControlOutput, ControlTables } from '../control/types.js'
import type { CommandEnvelope } from '../configuration/types.js'
import type { DisseminationName } from '../gossip/disseminationRegistry.js'
import type { Member } from '../membership/types.js'
import { buildImage } from '../replicated-log/diskFormat.js'
import type { ReplicaAdmission } from '../replicated-log/replicaAdmission.js'
import { foundingImage } from '../replicated-log/replicaTables.js'
import type { CallId, DiskRecord, Group, LogMessageSent, PersistRequested, ProposalAnswered, ReadAnswered, Replica, ReplicaId } from '../replicated-log/types.js'
import type { VirtualFleet, VirtualNode } from './virtualFleet.js'

/** A simulated disk that holds the log of one replica. */
export interface VirtualDisk {
  replica: ReplicaId
  records: DiskRecord[]
  /** Messages that must not be sent before the pending writes are synced, in order. */
  heldMessages: LogMessageSent[]
  unsynced: PersistRequested[]
  /** Whether the disk refuses writes, and whether the host has been told. */
  isFull: boolean
  isRefusing: boolean
  /** Incremented at each start and kill, so that a sync that was scheduled before has no effect. */
  generation: number
}

/** Options of the control hosts of a virtual fleet. */
export interface VirtualControlOptions {
  /** Number of hosts that found the group; all if absent. */
  readonly founders?: number
  readonly admission?: () => ReplicaAdmission
  /** Availability zone of each host; by default each host has one of its own. */
  readonly zoneOf?: (host: HostId) => string
  readonly dissemination?: DisseminationName
  /** Time without a report after which a backend server is considered gone. */
  readonly reportExpiryMs?: Millis
}

const createDisk = (replica: ReplicaId, records: DiskRecord[]): VirtualDisk =>
  ({ replica, records, heldMessages: [], unsynced: [], isFull: false, isRefusing: false, generation: 0 })

/** Time after which a refused write is tried again. */
const WRITE_RETRY_MS: Millis = 100

const createMember = (host: HostId, zone: string, epoch: number): Member => ({
  host,
  role: 'control',
  region: toId(zone.replace(/\d+$/, '')),
  zone: toId(zone),
  site: toId(zone),
  link: { address: host, port: 1 },
  callers: null,
  epoch,
  incarnation: 0,
  state: 'alive'
})

/** Starts, kills and calls the control hosts of a virtual fleet. */
export class VirtualControl {
  /** Duration of a disk sync, in milliseconds. */
  syncMs = 2
  readonly disks = new Map<HostId, VirtualDisk>()
  readonly proposalAnswers = new Map<CallId, ProposalAnswered>()
  readonly readAnswers = new Map<CallId, ReadAnswered>()
  readonly hosts: readonly HostId[]
  readonly #founders: readonly Replica[]
  #callCount = 0
  #startCount = 0

  /** The first hosts, as many as `options.founders`, found the group; the others join it. */
  constructor (readonly fleet: VirtualFleet, names: readonly string[], readonly options: VirtualControlOptions = {}) {
    this.hosts = names.map(name => toId<HostId>(name))
    const founding = this.hosts.slice(0, options.founders ?? names.length)
    this.#founders = founding.map(host => ({ replica: toId<ReplicaId>(`${host}#0`), host, link: { address: host, port: 1 } }))
    const group: Group = { voters: this.#founders, learners: [] }
    for (const { host, replica } of this.#founders) {
      this.disks.set(host, createDisk(replica, [{ kind: 'entries', entries: foundingImage(replica, group).entries }]))
      this.start(host)
    }
    for (const host of this.hosts.slice(founding.length)) this.join(host)
  }

  /** Starts a host with an empty disk, as a replica that is not in the group yet. */
  join (host: HostId): void {
    this.disks.set(host, createDisk(toId<ReplicaId>(`${host}#${this.fleet.random.below(1 << 30)}`), []))
    this.start(host)
  }

  /** Starts a host from the contents of its disk. */
  start (host: HostId): void {
    const disk = this.#disk(host)
    disk.generation += 1
    disk.heldMessages = []
    disk.unsynced = []
    disk.isRefusing = false
    this.#startCount += 1
    const seeds = this.#founders.filter(founder => founder.host !== host).map(founder => ({ host: founder.host, link: founder.link }))
    const world = createControlWorld({
      self: createMember(host, this.options.zoneOf?.(host) ?? host, this.#startCount),
      seeds,
      image: buildImage(disk.replica, disk.records),
      admission: this.options.admission?.(),
      dissemination: this.options.dissemination,
      reportExpiryMs: this.options.reportExpiryMs,
      randomSeed: this.fleet.random.below(1 << 30),
      now: this.fleet.now
    })
    this.fleet.add(host, world, (node, row: ControlOutput) => { this.#deliver(node, disk, row) })
  }

  /** Kills a host; its unsynced writes are lost. */
  kill (host: HostId): void {
    const node = this.fleet.nodes.get(host)
    if (node !== undefined) node.isDown = true
    this.#disk(host).generation += 1
  }

  /** Kills a host and starts it again after `downMs` and a random delay of up to `spreadMs`. */
  restart (host: HostId, downMs: Millis, spreadMs: Millis): void {
    this.kill(host)
    this.fleet.schedule(downMs + this.fleet.random.below(spreadMs), () => { this.start(host) })
  }

  /** Erases the disk of a killed host. The host then starts as a new replica that is not admitted to the group. */
  wipeDisk (host: HostId): void {
    const disk = this.#disk(host)
    disk.records = []
    disk.replica = toId<ReplicaId>(`${host}#${this.fleet.random.below(1 << 30)}`)
  }

  /** Makes the disk of a host refuse writes, or take them again. */
  setDiskFull (host: HostId, isFull: boolean): void { this.#disk(host).isFull = isFull }

  /** Proposes a command at a host; the answer is stored in `proposalAnswers`. */
  propose (host: HostId, envelope: CommandEnvelope): CallId {
    this.#callCount += 1
    const call = toId<CallId>(`call-${this.#callCount}`)
    this.fleet.push(host, { kind: 'propose', call, envelope })
    return call
  }

  /** Requests a quorum read at a host; the answer is stored in `readAnswers`. */
  read (host: HostId): CallId {
    this.#callCount += 1
    const call = toId<CallId>(`call-${this.#callCount}`)
    this.fleet.push(host, { kind: 'read', call })
    return call
  }

  /** Requests that a host admit the replica of another host to the group; the answer is stored in `proposalAnswers`. */
  admit (host: HostId, joiningHost: HostId): CallId {
    this.#callCount += 1
    const call = toId<CallId>(`call-${this.#callCount}`)
    this.fleet.push(host, { kind: 'admit', call, host: joiningHost })
    return call
  }

  tables (host: HostId): ControlTables {
    const node = this.fleet.nodes.get(host)
    if (node === undefined) throw new Error(`no control host ${host}`)
    return (node.world as World<ControlTables, ControlInput, ControlOutput>).tables
  }

  /** Running hosts whose replica has the leader role. Several are possible while a former leader has not seen a newer term. */
  leaders (): HostId[] {
    return this.hosts.filter(host => this.fleet.nodes.get(host)?.isDown === false && this.tables(host).replica.role === 'leader')
  }

  #disk (host: HostId): VirtualDisk {
    const disk = this.disks.get(host)
    if (disk === undefined) throw new Error(`control host ${host} has no disk`)
    return disk
  }

  #deliver (node: VirtualNode, disk: VirtualDisk, row: ControlOutput): void {
    if (row.kind === 'persist') this.#persist(node, disk, row)
    else if (row.kind === 'proposal-answer') this.proposalAnswers.set(row.call, row)
    else if (row.kind === 'read-answer') this.readAnswers.set(row.call, row)
    else if (row.kind === 'send' && 'afterSync' in row && row.afterSync && disk.unsynced.length > 0) disk.heldMessages.push(row)
    else if (row.kind === 'send') this.fleet.send(node.host, row)
  }

  #persist (node: VirtualNode, disk: VirtualDisk, row: PersistRequested): void {
    disk.unsynced.push(row)
    this.#scheduleSync(node, disk, this.syncMs)
  }

  #scheduleSync (node: VirtualNode, disk: VirtualDisk, afterMs: Millis): void {
    const generation = disk.generation
    this.fleet.schedule(afterMs, () => {
      if (disk.generation !== generation) return
      if (disk.isRefusing !== disk.isFull) {
        disk.isRefusing = disk.isFull
        node.inbox.push({ kind: 'disk', isRefusing: disk.isFull })
      }
      if (disk.isFull) {
        this.#scheduleSync(node, disk, WRITE_RETRY_MS)
        return
      }
      const oldest = disk.unsynced.shift()
      if (oldest === undefined) return
      disk.records.push(oldest.record)
      node.inbox.push({ kind: 'persisted', sequence: oldest.sequence })
      if (disk.unsynced.length > 0) return
      const messages = disk.heldMessages
      disk.heldMessages = []
      for (const row of messages) this.fleet.send(node.host, row)
    })
  }
}

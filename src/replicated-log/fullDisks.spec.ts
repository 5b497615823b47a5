import t from 'tap'
import { toId } from '../core/id.js'
import type { HostId, OperatorId, RequestId, ZoneId } from '../core/id.js'
import { SeededRandom } from '../core/random.js'
import type { CommandEnvelope } from '../configuration/types.js'
import { VirtualControl } from '../stand-ins/virtualControl.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { AutomaticAdmission } from './replicaAdmission.js'

// Guards against a group that stops taking changes, for good or for long, after the disks of its hosts were full in turn.

const NAMES = ['c1', 'c2', 'c3', 'c4', 'c5', 'c6']
const RUNS = Number(process.env.RHUBARBSEAM_RUNS ?? 20)
/** A change is confirmed within this time while most of the group works. */
const CONFIRMATION_LIMIT_MS = 4_000
/** A host whose disk has room again holds the newest change within this time. */
const CATCH_UP_LIMIT_MS = 3_000
const OPERATOR_TIMEOUT_MS = 1_000

const evacuate = (number: number): CommandEnvelope => ({
  requestId: toId<RequestId>(`evacuate-${number}`), operator: toId<OperatorId>('o'), roles: ['assign'], command: { kind: 'start-evacuation', zone: toId<ZoneId>(`z${number}`) }
})

/** An operator that sends a change after the other, each at any host, again after a second without an answer. */
class Operator {
  longestMs = 0
  confirmed = 0
  isStopped = false
  #sentAt = 0

  constructor (readonly fleet: VirtualFleet, readonly control: VirtualControl, readonly gapMs: number) { this.#next() }

  #next (): void {
    if (this.isStopped) return
    this.#sentAt = this.fleet.now
    this.#try()
  }

  #try (): void {
    const { control, fleet } = this
    const up = control.hosts.filter(name => fleet.nodes.get(name)?.isDown === false)
    let host = up[fleet.random.below(up.length)] as HostId
    const { leader } = control.tables(host).replica
    if (leader !== null) host = leader
    const call = control.propose(host, evacuate(this.confirmed + 1))
    this.#wait(call, fleet.now + OPERATOR_TIMEOUT_MS)
  }

  #wait (call: ReturnType<VirtualControl['propose']>, until: number): void {
    this.fleet.schedule(10, () => {
      const answer = this.control.proposalAnswers.get(call)
      if (answer?.error === null) {
        this.longestMs = Math.max(this.longestMs, this.fleet.now - this.#sentAt)
        this.confirmed += 1
        this.fleet.schedule(this.gapMs, () => { this.#next() })
      } else if (answer !== undefined || this.fleet.now >= until) {
        this.fleet.schedule(100, () => { this.#try() })
      } else {
        this.#wait(call, until)
      }
    })
  }
}

interface Outcome { readonly isConfirmedInTime: boolean, readonly isCaughtUpInTime: boolean, readonly lost: string[], readonly confirmsAtTheEnd: boolean }

const run = (seed: number): Outcome => {
  const random = new SeededRandom(seed * 31)
  const fleet = new VirtualFleet(seed)
  const delayMs = [1, 35, 55][random.below(3)] ?? 35
  fleet.network.delay = () => delayMs
  const control = new VirtualControl(fleet, NAMES, { founders: 3, admission: () => new AutomaticAdmission() })
  fleet.runFor(9_000)
  const operator = new Operator(fleet, control, [50, 200, 700][random.below(3)] ?? 200)
  let slowestCatchUpMs = 0
  const turns = 4 + random.below(5)
  for (let turn = 0; turn < turns; turn += 1) {
    const [leader] = control.leaders()
    const host = (turn % 3 === 1 ? leader : undefined) ?? control.hosts[random.below(NAMES.length)] as HostId
    control.setDiskFull(host, true)
    fleet.runFor(500 + random.below(seed % 4 === 0 ? 12_000 : 4_000))
    // Some hosts are killed while their disk is full, as a platform may restart them.
    const isKilled = random.below(4) === 0
    if (isKilled) control.restart(host, 800, 400)
    control.setDiskFull(host, false)
    const fullUntil = fleet.now
    const newest = operator.confirmed
    while (fleet.now < fullUntil + 8_000 && !control.tables(host).configuration.evacuations.has(toId<ZoneId>(`z${newest}`))) fleet.runFor(20)
    if (!isKilled) slowestCatchUpMs = Math.max(slowestCatchUpMs, fleet.now - fullUntil)
    fleet.runFor(random.below(1_500))
  }
  const before = operator.confirmed
  fleet.runFor(5_000)
  const confirmsAtTheEnd = operator.confirmed > before
  operator.isStopped = true
  fleet.runFor(3_000)
  for (const name of control.hosts) control.kill(name)
  fleet.runFor(500)
  for (const name of control.hosts) control.start(name)
  fleet.runFor(9_000)
  const lost: string[] = []
  for (const name of control.hosts) {
    for (let number = 1; number <= operator.confirmed; number += 1) {
      if (!control.tables(name).configuration.evacuations.has(toId<ZoneId>(`z${number}`))) lost.push(`z${number} on ${name}`)
    }
  }
  return { isConfirmedInTime: operator.longestMs <= CONFIRMATION_LIMIT_MS, isCaughtUpInTime: slowestCatchUpMs <= CATCH_UP_LIMIT_MS, lost, confirmsAtTheEnd }
}

for (let seed = 1; seed <= RUNS; seed += 1) {
  t.test(`changes go on while the disks of six control hosts are full in turn (seed ${seed})`, async t => {
    t.same(run(seed), { isConfirmedInTime: true, isCaughtUpInTime: true, lost: [], confirmsAtTheEnd: true })
  })
}

import t from 'tap'
import type { Test } from 'tap'
import { toId } from '../core/id.js'
import type { HostId, OperatorId, RequestId, ZoneId } from '../core/id.js'
import { SeededRandom } from '../core/random.js'
import type { Millis } from '../core/tick.js'
import type { CommandEnvelope } from '../configuration/types.js'
import { startRegionalControl } from '../stand-ins/regionalControl.js'
import type { VirtualControl } from '../stand-ins/virtualControl.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { delayByRegion } from '../stand-ins/virtualTopology.js'

// Guards against a control group without a quorum after two disks are lost, 4 s after earlier losses are back.

const RUNS = Number(process.env.RHUBARBSEAM_RUNS ?? 24)
const START_MS: Millis = 12_000
/** Time after its return from which a host no longer counts as lost. */
const SYNCED_MS: Millis = 4_000
/** Time in which all hosts are back in service once all have started. */
const RECOVERY_MS: Millis = 15_000
const ATTEMPT_MS: Millis = 500

const evacuate = (zone: string): CommandEnvelope => ({
  requestId: toId<RequestId>(`evacuate-${zone}`), operator: toId<OperatorId>('ann'), roles: ['assign'], command: { kind: 'start-evacuation', zone: toId<ZoneId>(zone) }
})

class LostDisks {
  readonly random: SeededRandom
  readonly fleet: VirtualFleet
  readonly control: VirtualControl

  constructor (seed: number) {
    this.random = new SeededRandom(seed)
    this.fleet = new VirtualFleet(seed)
    this.fleet.network.delay = delayByRegion(35)
    this.control = startRegionalControl(this.fleet)
    this.fleet.runFor(START_MS + this.random.below(2_000))
  }

  /** Kills a host and starts it again after a while, with an empty disk if it loses that. Returns when it is back. */
  lose (host: HostId, losesDisk: boolean, downMs: Millis): Millis {
    this.control.kill(host)
    this.fleet.schedule(downMs, () => {
      if (losesDisk) this.control.wipeDisk(host)
      this.control.start(host)
    })
    return this.fleet.now + downMs
  }

  shuffled (): HostId[] {
    const left = [...this.control.hosts]
    const order: HostId[] = []
    while (left.length > 0) order.push(...left.splice(this.random.below(left.length), 1))
    return order
  }

  /** Sends a change again, to one host after the other, until it is confirmed or the time is over. */
  confirm (zone: string, limitMs: Millis): boolean {
    const end = this.fleet.now + limitMs
    for (let attempt = 0; this.fleet.now < end; attempt += 1) {
      const host = this.control.leaders()[0] ?? this.control.hosts[attempt % this.control.hosts.length]
      const call = this.control.propose(host as HostId, evacuate(zone))
      this.fleet.runFor(ATTEMPT_MS)
      if (this.control.proposalAnswers.get(call)?.error === null) return true
    }
    return false
  }
}

// As many disks are lost as may be and all other hosts lose power, right after a change is confirmed.
const checkFinalFault = (t: Test, what: string, lost: LostDisks, lostBefore: readonly HostId[] = []): void => {
  t.ok(lost.confirm('z', SYNCED_MS), `${what}: a change is confirmed before the final fault`)
  const [leader] = lost.control.leaders()
  const order = [...leader === undefined || lost.random.below(2) === 0 ? [] : [leader], ...lost.shuffled()]
  const wiped = new Set([...lostBefore, ...new Set(order)].slice(0, 2))
  let backAt = 0
  for (const host of lost.control.hosts) backAt = Math.max(backAt, lost.lose(host, wiped.has(host), 500 + lost.random.below(2_000)))
  lost.fleet.runUntil(backAt)
  t.ok(lost.confirm('y', RECOVERY_MS), `${what}: changes are confirmed again after ${[...wiped].join(' and ')} have lost their disks`)
  lost.fleet.runFor(RECOVERY_MS)
  const lacking = lost.control.hosts.filter(host => !lost.control.tables(host).configuration.evacuations.has(toId<ZoneId>('z')))
  t.same(lacking, [], `${what}: the confirmed change is on every host`)
}

t.test('a host that is back with an empty disk is not admitted while others take it for dead', async t => {
  for (let seed = 1; seed <= RUNS; seed += 1) {
    const lost = new LostDisks(seed)
    const [first, second] = lost.shuffled() as [HostId, HostId]
    const backAt = Math.max(lost.lose(first, true, 300 + lost.random.below(2_500)), lost.lose(second, true, 300 + lost.random.below(2_500)))
    lost.fleet.runUntil(backAt + SYNCED_MS)
    checkFinalFault(t, `back with an empty disk, seed ${seed}, ${first} and ${second} first`, lost)
  }
})

t.test('an admission that can no longer complete keeps the next one waiting', async t => {
  for (let seed = 1; seed <= RUNS; seed += 1) {
    const lost = new LostDisks(seed * 1_000)
    const [host] = lost.shuffled() as [HostId]
    lost.fleet.runUntil(lost.lose(host, true, 300 + lost.random.below(1_000)))
    lost.fleet.runFor(lost.random.below(1_500))
    lost.fleet.runUntil(lost.lose(host, true, 300 + lost.random.below(2_500)) + SYNCED_MS)
    checkFinalFault(t, `disk lost twice, seed ${seed}, ${host}`, lost)
  }
})

t.test('a learner that has fallen silent keeps the next one waiting', async t => {
  for (let seed = 1; seed <= RUNS; seed += 1) {
    const lost = new LostDisks(seed * 2_000)
    const [first, second] = lost.shuffled() as [HostId, HostId]
    lost.fleet.runUntil(lost.lose(first, true, 300 + lost.random.below(500)))
    lost.fleet.runFor(lost.random.below(1_500))
    const node = lost.fleet.nodes.get(first)
    if (node !== undefined) node.isFrozen = true
    lost.fleet.runUntil(lost.lose(second, true, 300 + lost.random.below(500)) + SYNCED_MS)
    checkFinalFault(t, `learner silent, seed ${seed}, ${first} before ${second}`, lost, [first])
  }
})

// Guards against a successor at a new address that asks to join again and again while the leader knows it by no rumor.
t.test('a host that joins is admitted although the leader has missed the rumors about it', async t => {
  for (let seed = 1; seed <= RUNS; seed += 1) {
    const { fleet, control } = new LostDisks(seed * 3_000)
    const [leader] = control.leaders()
    const joiner = toId<HostId>(`${['n1', 'm2', 's1'][seed % 3] ?? 'n1'}-x`)
    control.join(joiner)
    const reachedAt = fleet.now + 400
    fleet.network.isPartitioned = (_from, to) => to === leader && fleet.now < reachedAt
    fleet.runUntil(reachedAt + 2_500)
    const { voters, learners } = control.tables(control.leaders()[0] ?? joiner).replica.group
    t.ok([...voters, ...learners].some(({ host }) => host === joiner), `a joining host without rumors, seed ${seed}, ${joiner}`)
  }
})

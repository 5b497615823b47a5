import t from 'tap'
import { toId } from '../core/id.js'
import type { HostId, OperatorId, RequestId, ZoneId } from '../core/id.js'
import { SeededRandom } from '../core/random.js'
import type { CommandEnvelope } from '../configuration/types.js'
import { VirtualControl } from '../stand-ins/virtualControl.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { AutomaticAdmission } from './replicaAdmission.js'

// Guards against a group that counts replaced voters until it has no quorum when two more lose their disks.

const NAMES = ['c1', 'c2', 'c3', 'c4', 'c5', 'c6']
const ZONES = ['a1', 'b1', 'c1', 'a2', 'b2', 'c2']
const RUNS = Number(process.env.RHUBARBSEAM_RUNS ?? 24)
/** Time after its start from which a successor no longer counts as lost. */
const SUCCESSOR_SYNC_MS = 4_000
/** Time in which all hosts are back in service once all have started. */
const RECOVERY_MS = 15_000

const evacuate = (zone: string): CommandEnvelope => ({
  requestId: toId<RequestId>(`evacuate-${zone}`), operator: toId<OperatorId>('o'), roles: ['assign'], command: { kind: 'start-evacuation', zone: toId<ZoneId>(zone) }
})

interface Scenario {
  readonly seed: number
  /** Positions of the hosts that are replaced in turn; 'leader' is the one that leads at that time. */
  readonly replaced: ReadonlyArray<number | 'leader'>
  readonly successorMs: number
  readonly gapMs: number
  /** Whether all are lost at the same moment, rather than each once the successor of the one before counts. */
  readonly isAtOnce: boolean
  readonly delayMs: number
}

class ReplacedFleet {
  readonly fleet: VirtualFleet
  readonly control: VirtualControl
  readonly random: SeededRandom
  readonly zones = new Map<HostId, string>()
  hosts: HostId[] = []

  constructor ({ seed, delayMs }: Scenario) {
    this.fleet = new VirtualFleet(seed)
    this.fleet.network.delay = () => delayMs
    this.random = new SeededRandom(seed)
    this.hosts = NAMES.map(name => toId<HostId>(name))
    for (const [position, name] of this.hosts.entries()) this.zones.set(name, ZONES[position] ?? 'a1')
    this.control = new VirtualControl(this.fleet, NAMES, { founders: 3, admission: () => new AutomaticAdmission(), zoneOf: host => this.zones.get(host) ?? 'a1' })
    this.fleet.runFor(10_000)
  }

  leader (): HostId | undefined {
    const leaders = this.hosts.filter(name => this.fleet.nodes.get(name)?.isDown === false && this.control.tables(name).replica.role === 'leader')
    return leaders.sort((a, b) => this.control.tables(b).replica.term - this.control.tables(a).replica.term)[0]
  }

  replace (lost: ReadonlyMap<HostId, HostId>, successorMs: number): void {
    for (const name of lost.keys()) this.control.kill(name)
    this.hosts = this.hosts.filter(name => !lost.has(name))
    this.fleet.runFor(successorMs)
    for (const [name, successor] of lost) {
      this.zones.set(successor, this.zones.get(name) ?? 'a1')
      this.hosts.push(successor)
      this.control.join(successor)
    }
  }

  // Sends the command again until it is confirmed, as an operator does.
  confirm (zone: string, limitMs: number): boolean {
    const end = this.fleet.now + limitMs
    while (this.fleet.now < end) {
      const leader = this.leader()
      if (leader !== undefined) {
        const call = this.control.propose(leader, evacuate(zone))
        this.fleet.runFor(400)
        if (this.control.proposalAnswers.get(call)?.error === null) return true
      }
      this.fleet.runFor(100)
    }
    return false
  }

  wipe (lost: readonly HostId[], downMs: number): void {
    for (const name of lost) this.control.kill(name)
    this.fleet.runFor(downMs)
    for (const name of lost) {
      this.control.wipeDisk(name)
      this.control.start(name)
    }
  }
}

const run = (scenario: Scenario): { isConfirmed: boolean, isServing: boolean, lacking: HostId[] } => {
  const replaced = new ReplacedFleet(scenario)
  const lostTogether = new Map<HostId, HostId>()
  for (const [turn, which] of scenario.replaced.entries()) {
    const lost = which === 'leader' ? replaced.leader() ?? replaced.hosts[0] : toId<HostId>(NAMES[which] ?? 'c1')
    lostTogether.set(lost as HostId, toId<HostId>(`c${NAMES.length + 1 + turn}`))
    if (scenario.isAtOnce && turn < scenario.replaced.length - 1) continue
    replaced.replace(lostTogether, scenario.successorMs)
    lostTogether.clear()
    replaced.fleet.runFor(SUCCESSOR_SYNC_MS + scenario.gapMs)
  }
  const isConfirmed = replaced.confirm('z', 5_000)
  const leader = replaced.leader()
  const others = replaced.hosts.filter(name => name !== leader)
  const lost = scenario.seed % 2 === 0 && leader !== undefined ? [leader, others[0] as HostId] : [others[1] as HostId, others[replaced.random.below(2) + 2] as HostId]
  replaced.wipe(lost, 1_000 + replaced.random.below(1_000))
  replaced.fleet.runFor(RECOVERY_MS)
  const isServing = replaced.confirm('y', 4_000)
  replaced.fleet.runFor(1_000)
  const lacking = replaced.hosts.filter(name => !replaced.control.tables(name).configuration.evacuations.has(toId<ZoneId>('z')))
  return { isConfirmed, isServing, lacking }
}

const scenarios: Scenario[] = []
for (let seed = 1; seed <= RUNS; seed += 1) {
  const random = new SeededRandom(seed * 7)
  const first = random.below(NAMES.length)
  scenarios.push({
    seed,
    isAtOnce: seed % 4 === 1,
    replaced: seed % 3 === 0 && seed % 4 !== 1 ? ['leader', 'leader'] : [first, (first + 1 + random.below(NAMES.length - 1)) % NAMES.length],
    successorMs: [200, 1_000, 2_500][seed % 3] ?? 1_000,
    gapMs: [100, 200, 900][random.below(3)] ?? 200,
    delayMs: [1, 35, 55][random.below(3)] ?? 55
  })
}

for (const scenario of scenarios) {
  t.test(`two hosts are replaced and two others lose their disks: ${JSON.stringify(scenario)}`, async t => {
    t.same(run(scenario), { isConfirmed: true, isServing: true, lacking: [] })
  })
}

t.test('a member of the group does not go on introducing itself to a host that once asked to join and is forgotten', async t => {
  const replaced = new ReplacedFleet({ seed: 32, replaced: [], isAtOnce: false, successorMs: 0, gapMs: 0, delayMs: 35 })
  const leader = replaced.leader() as HostId
  const forgotten = toId<HostId>('c9')
  replaced.control.tables(leader).joining.put({ replica: toId('c9#1'), host: forgotten, link: { address: 'c9', port: 1 }, heardAt: replaced.fleet.now })
  let sent = 0
  replaced.fleet.network.isPartitioned = (_from, to) => {
    if (to === forgotten) sent += 1
    return false
  }
  replaced.fleet.runFor(5_000)
  t.equal(sent, 0)
})

t.test('a voter that is silent for a while keeps its place as long as no new host has joined', async t => {
  const replaced = new ReplacedFleet({ seed: 31, replaced: [], isAtOnce: false, successorMs: 0, gapMs: 0, delayMs: 35 })
  const leader = replaced.leader() as HostId
  const silent = replaced.hosts.find(name => name !== leader) as HostId
  const voters = (): string[] => replaced.control.tables(replaced.leader() ?? leader).replica.group.voters.map(row => row.replica).sort()
  const before = voters()
  replaced.fleet.network.isPartitioned = (from, to) => from === silent || to === silent
  replaced.fleet.runFor(4_000)
  t.same(voters(), before)
  replaced.fleet.network.isPartitioned = () => false
  replaced.fleet.runFor(4_000)
  t.same(voters(), before)
})

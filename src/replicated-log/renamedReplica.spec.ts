import t from 'tap'
import { toId } from '../core/id.js'
import type { HostId, OperatorId, RequestId, ZoneId } from '../core/id.js'
import { SeededRandom } from '../core/random.js'
import { startRegionalControl } from '../stand-ins/regionalControl.js'
import type { VirtualControl } from '../stand-ins/virtualControl.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { delayByRegion } from '../stand-ins/virtualTopology.js'

// Guards against a host that stopped amid giving up its replica, and votes under its new name before it is admitted.

const RUNS = Number(process.env.RHUBARBSEAM_RUNS ?? 12)
const SEED = Number(process.env.RHUBARBSEAM_SEED ?? 1)
const RECOVERY_MS = 15_000

const confirm = (fleet: VirtualFleet, control: VirtualControl, zone: string): boolean => {
  const end = fleet.now + RECOVERY_MS
  while (fleet.now < end) {
    const [leader] = control.leaders()
    if (leader !== undefined) {
      const call = control.propose(leader, { requestId: toId<RequestId>(zone), operator: toId<OperatorId>('ann'), roles: ['assign'], command: { kind: 'start-evacuation', zone: toId<ZoneId>(zone) } })
      fleet.runFor(400)
      if (control.proposalAnswers.get(call)?.error === null) return true
    }
    fleet.runFor(100)
  }
  return false
}

t.test('hosts that start under a new name beside their old log are admitted, and nothing confirmed is lost', async t => {
  for (let seed = SEED; seed < SEED + RUNS; seed += 1) {
    const random = new SeededRandom(seed)
    const fleet = new VirtualFleet(seed)
    fleet.network.delay = delayByRegion(35)
    const control = startRegionalControl(fleet)
    fleet.runFor(12_000)
    t.ok(confirm(fleet, control, 'before'), `seed ${seed}: a change is confirmed`)
    const [leader] = control.leaders()
    const others = control.hosts.filter(host => host !== leader)
    const renamed = [leader, others[random.below(others.length)]] as HostId[]
    // All hosts lose power.
    for (const host of control.hosts) control.kill(host)
    fleet.runFor(500)
    for (const host of renamed) {
      const disk = control.disks.get(host)
      if (disk !== undefined) disk.replica = toId(`${host}#renamed`)
    }
    for (const host of control.hosts) control.start(host)
    fleet.runFor(100)
    for (const host of renamed) t.equal(control.tables(host).replica.role, 'follower', `seed ${seed}: ${host} does not campaign`)
    t.ok(confirm(fleet, control, 'after'), `seed ${seed}: changes go on`)
    fleet.runFor(RECOVERY_MS)
    const lacking = control.hosts.filter(host => !['before', 'after'].every(zone => control.tables(host).configuration.evacuations.has(toId<ZoneId>(zone))))
    t.same(lacking, [], `seed ${seed}: all hosts hold both changes`)
    const group = control.tables(control.leaders()[0] as HostId).replica.group
    const members = [...group.voters, ...group.learners].map(row => String(row.replica))
    for (const host of renamed) t.ok(members.includes(`${host}#renamed`), `seed ${seed}: ${host} is admitted`)
  }
})

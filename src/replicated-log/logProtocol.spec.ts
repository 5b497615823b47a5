import t from 'tap'
import fc from 'fast-check'
import { toId } from '../core/id.js'
import type { HostId, OperatorId, RequestId, WorkspaceId } from '../core/id.js'
import type { CommandEnvelope } from '../configuration/types.js'
import { VirtualControl } from '../stand-ins/virtualControl.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { SNAPSHOT_INTERVAL_ENTRIES } from './commitSystem.js'
import type { CallId } from './types.js'

const NAMES = ['c1', 'c2', 'c3']

const putWorkspace = (operator: string, request: string, workspace: string, expectedVersion: number): CommandEnvelope => ({
  requestId: toId<RequestId>(request),
  operator: toId<OperatorId>(operator),
  roles: ['assign'],
  command: { kind: 'put-workspace', workspace: toId<WorkspaceId>(workspace), expectedVersion, rate: 10, burst: 5, weight: 1 }
})

const start = (seed: number): { fleet: VirtualFleet, control: VirtualControl } => {
  const fleet = new VirtualFleet(seed)
  fleet.network.delay = () => 5
  const control = new VirtualControl(fleet, NAMES)
  return { fleet, control }
}

const host = (name: string): HostId => toId<HostId>(name)

const newestLeader = (control: VirtualControl): HostId => {
  const leaders = control.leaders().map(name => ({ name, term: control.tables(name).replica.term })).sort((a, b) => b.term - a.term)
  const first = leaders[0]
  if (first === undefined) throw new Error('no leader')
  return first.name
}

const describe = (control: VirtualControl, calls: readonly CallId[]): unknown => ({
  answers: calls.map(call => {
    const answer = control.proposalAnswers.get(call)
    return answer === undefined ? 'no answer' : answer.error?.kind ?? `version ${answer.receipt?.version ?? -1}`
  }),
  workspaces: control.hosts.map(name => [...control.tables(name).configuration.workspaces.rows()].map(row => `${row.workspace}@${row.version}`))
})

/** Checks the invariants of the protocol throughout a run. */
class InvariantChecker {
  readonly #leaderOfTerm = new Map<number, HostId>()
  readonly #committed = new Map<number, string>()
  readonly #indexes = new Map<HostId, { node: unknown, index: number }>()
  readonly violations: string[] = []

  check (control: VirtualControl, fleet: VirtualFleet): void {
    for (const name of control.hosts) {
      const node = fleet.nodes.get(name)
      if (node === undefined || node.isDown) continue
      const { replica, log, configuration } = control.tables(name)
      if (replica.role === 'leader') {
        const other = this.#leaderOfTerm.get(replica.term)
        if (other !== undefined && other !== name) this.violations.push(`two leaders in term ${replica.term}`)
        this.#leaderOfTerm.set(replica.term, name)
      }
      for (const entry of log.rows()) {
        if (entry.index > replica.commit) break
        const text = JSON.stringify(entry)
        const known = this.#committed.get(entry.index)
        if (known !== undefined && known !== text) this.violations.push(`committed entry ${entry.index} changed`)
        this.#committed.set(entry.index, text)
      }
      const before = this.#indexes.get(name)
      if (before?.node === node && configuration.index < before.index) this.violations.push(`${name}: applied index went back from ${before.index} to ${configuration.index}`)
      this.#indexes.set(name, { node, index: configuration.index })
    }
  }
}

t.test('a leader is elected and a command commits on all replicas', async t => {
  const { fleet, control } = start(1)
  fleet.runFor(4_000)
  const call = control.propose(newestLeader(control), putWorkspace('ann', 'r1', 'w', 0))
  fleet.runFor(1_000)
  t.matchSnapshot(describe(control, [call]))
})

t.test('operators race with equal versions and one repeats its request after a lost answer', async t => {
  const { fleet, control } = start(2)
  fleet.runFor(4_000)
  const leader = newestLeader(control)
  const calls = [
    control.propose(leader, putWorkspace('ann', 'r1', 'w', 0)),
    control.propose(leader, putWorkspace('bob', 'r1', 'w', 0)),
    control.propose(leader, putWorkspace('ann', 'r1', 'w', 0)),
    control.propose(leader, putWorkspace('ann', 'r1', 'w', 1))
  ]
  fleet.runFor(1_000)
  t.matchSnapshot(describe(control, calls), 'one succeeds; the repeated request gets the first outcome; its id with another command is an error')
})

t.test('the leader is killed during a commit', async t => {
  const { fleet, control } = start(3)
  fleet.runFor(4_000)
  const leader = newestLeader(control)
  const first = control.propose(leader, putWorkspace('ann', 'r1', 'w', 0))
  fleet.runFor(4)
  control.kill(leader)
  fleet.runFor(6_000)
  const next = newestLeader(control)
  const again = control.propose(next, putWorkspace('ann', 'r1', 'w', 0))
  fleet.runFor(1_000)
  control.start(leader)
  fleet.runFor(3_000)
  t.not(next, leader)
  t.matchSnapshot(describe(control, [first, again]), 'the repeated command is applied once on every replica')
})

t.test('all hosts are killed at each millisecond of a commit on slow disks: an accepted change is kept', async t => {
  const missing: string[] = []
  for (let killAt = 0; killAt <= 80; killAt += 1) {
    const { fleet, control } = start(100)
    control.syncMs = 25
    fleet.runFor(4_000)
    const leader = newestLeader(control)
    const call = control.propose(leader, putWorkspace('ann', 'r1', 'w', 0))
    fleet.runFor(killAt)
    const isAccepted = control.proposalAnswers.get(call)?.receipt?.version === 1
    for (const name of control.hosts) control.kill(name)
    for (const name of control.hosts) control.start(name)
    fleet.runFor(6_000)
    const again = control.propose(newestLeader(control), putWorkspace('ann', 'r1', 'w', 0))
    fleet.runFor(1_000)
    const workspaces = control.tables(newestLeader(control)).configuration.workspaces
    if (workspaces.get(toId<WorkspaceId>('w'))?.version !== 1) missing.push(`killed after ${killAt} ms: change is missing`)
    const first = control.proposalAnswers.get(call)?.receipt?.index
    if (isAccepted && control.proposalAnswers.get(again)?.receipt?.index !== first) missing.push(`killed after ${killAt} ms: accepted change was applied again`)
  }
  t.same(missing, [])
})

t.test('a replica that returns from a long partition does not disturb the leader', async t => {
  const { fleet, control } = start(4)
  fleet.runFor(4_000)
  const leader = newestLeader(control)
  const cut = control.hosts.find(name => name !== leader) ?? leader
  fleet.network.isPartitioned = (from, to) => from === cut || to === cut
  const calls: CallId[] = []
  for (let n = 0; n < 300; n += 1) {
    calls.push(control.propose(leader, putWorkspace('ann', `r${n}`, `w${n}`, 0)))
    fleet.runFor(300)
  }
  const termBefore = control.tables(leader).replica.term
  const staleCall = control.propose(cut, putWorkspace('eve', 'r1', 'x', 0))
  fleet.runFor(100)
  fleet.network.isPartitioned = () => false
  fleet.runFor(5_000)
  t.same(control.leaders(), [leader])
  t.equal(control.tables(leader).replica.term, termBefore, 'the term is unchanged')
  t.equal(control.proposalAnswers.get(staleCall)?.error?.kind, 'not-leader')
  t.equal(control.tables(cut).configuration.workspaces.size, 300, 'it has caught up')
})

t.test('a leader that resumes after a freeze accepts no proposals', async t => {
  const { fleet, control } = start(5)
  fleet.runFor(4_000)
  const frozen = newestLeader(control)
  const node = fleet.nodes.get(frozen)
  if (node === undefined) throw new Error('no node')
  node.isFrozen = true
  fleet.runFor(6_000)
  const next = newestLeader(control)
  const stale = control.propose(frozen, putWorkspace('ann', 'r1', 'w', 0))
  const good = control.propose(next === frozen ? host('c1') : next, putWorkspace('bob', 'r1', 'w', 0))
  node.isFrozen = false
  fleet.runFor(3_000)
  t.matchSnapshot(describe(control, [stale, good]))
})

t.test('a host with a lost disk returns as a new replica, then a second host fails', async t => {
  const { fleet, control } = start(6)
  fleet.runFor(4_000)
  const leader = newestLeader(control)
  const lost = control.hosts.find(name => name !== leader) ?? leader
  const call = control.propose(leader, putWorkspace('ann', 'r1', 'w', 0))
  fleet.runFor(500)
  control.kill(lost)
  control.wipeDisk(lost)
  control.start(lost)
  fleet.runFor(4_000)
  const voterBefore = control.tables(leader).replica.group.voters.find(row => row.host === lost)?.replica
  t.equal(voterBefore, `${lost}#0`, 'it is not admitted yet')
  t.equal(control.tables(lost).log.lastIndex, 0, 'its log is empty')
  const admitted = control.admit(leader, lost)
  fleet.runFor(4_000)
  t.same(control.tables(leader).replica.group.voters.map(row => row.host).sort(), [...control.hosts].sort())
  control.kill(leader)
  fleet.runFor(6_000)
  const next = newestLeader(control)
  const after = control.propose(next, putWorkspace('bob', 'r2', 'w', 1))
  fleet.runFor(1_000)
  t.equal(control.proposalAnswers.get(after)?.receipt?.version, 2, 'the change that was accepted before the repair is kept')
  t.matchSnapshot(describe(control, [call, admitted, after]))
})

t.test('a replica with an empty disk does not elect a leader that lacks accepted changes', async t => {
  const { fleet, control } = start(7)
  fleet.runFor(4_000)
  const leader = newestLeader(control)
  const [second, third] = control.hosts.filter(name => name !== leader)
  if (second === undefined || third === undefined) throw new Error('three hosts')
  // The third replica misses the change that the other two accept.
  fleet.network.isPartitioned = (from, to) => from === third || to === third
  const call = control.propose(leader, putWorkspace('ann', 'r1', 'w', 0))
  fleet.runFor(500)
  t.equal(control.proposalAnswers.get(call)?.receipt?.version, 1)
  control.kill(leader)
  control.kill(second)
  control.wipeDisk(second)
  control.start(second)
  fleet.network.isPartitioned = () => false
  fleet.runFor(20_000)
  t.same(control.leaders(), [], 'the stale third and the empty second replica elect no leader')
  control.start(leader)
  fleet.runFor(6_000)
  t.equal(control.tables(newestLeader(control)).configuration.workspaces.size, 1)
})

t.test('a replica that missed hundreds of changes catches up by a snapshot', async t => {
  const { fleet, control } = start(8)
  fleet.runFor(4_000)
  const leader = newestLeader(control)
  const down = control.hosts.find(name => name !== leader) ?? leader
  control.kill(down)
  for (let n = 0; n < 1_400; n += 1) {
    control.propose(leader, putWorkspace('ann', `r${n}`, `w${n % 50}`, Math.floor(n / 50)))
    fleet.runFor(20)
  }
  control.start(down)
  fleet.runFor(4_000)
  t.equal(control.tables(down).configuration.index, control.tables(leader).configuration.index)
  t.ok((control.tables(leader).replica.snapshot?.index ?? 0) >= SNAPSHOT_INTERVAL_ENTRIES, 'the log was compacted')
  t.equal(control.tables(down).replica.snapshot?.index, control.tables(leader).replica.snapshot?.index, 'the snapshot was installed')
})

interface Step { readonly kind: 'kill' | 'start' | 'cut' | 'heal' | 'freeze' | 'thaw' | 'propose', readonly target: number, readonly pauseMs: number }

const steps = fc.array(fc.record({
  kind: fc.constantFrom<Step['kind']>('kill', 'start', 'start', 'cut', 'heal', 'heal', 'freeze', 'thaw', 'thaw', 'propose', 'propose', 'propose', 'propose'),
  target: fc.nat(2),
  pauseMs: fc.integer({ min: 1, max: 1_500 })
}), { minLength: 20, maxLength: 60 })

const runSteps = (seed: number, plan: readonly Step[], network: { loss: number, doubled: number, jitter: number }, syncMs: number): string[] => {
  const { fleet, control } = start(seed)
  control.syncMs = syncMs
  Object.assign(fleet.network, network)
  const checker = new InvariantChecker()
  const versions = new Map<string, number>()
  const accepted: CallId[] = []
  const pendingCalls = new Map<CallId, string>()
  const cut = new Set<HostId>()
  fleet.network.isPartitioned = (from, to) => cut.has(from) !== cut.has(to)
  const advance = (durationMs: number): void => {
    for (let left = durationMs; left > 0; left -= 10) {
      fleet.runFor(Math.min(10, left))
      checker.check(control, fleet)
    }
  }
  let count = 0
  advance(3_000)
  for (const step of plan) {
    const target = control.hosts[step.target]
    const node = target === undefined ? undefined : fleet.nodes.get(target)
    if (target === undefined || node === undefined) continue
    if (step.kind === 'kill' && !node.isDown) control.kill(target)
    else if (step.kind === 'start' && node.isDown) control.start(target)
    else if (step.kind === 'cut') cut.add(target)
    else if (step.kind === 'heal') cut.delete(target)
    else if (step.kind === 'freeze') node.isFrozen = true
    else if (step.kind === 'thaw') node.isFrozen = false
    else if (step.kind === 'propose' && !node.isDown) {
      const workspace = `w${count % 3}`
      count += 1
      const expected = control.tables(target).configuration.workspaces.get(toId<WorkspaceId>(workspace))?.version ?? 0
      pendingCalls.set(control.propose(target, putWorkspace(`op${step.target}`, `r${count}`, workspace, expected)), workspace)
    }
    advance(step.pauseMs)
  }
  Object.assign(fleet.network, { loss: 0, doubled: 0, jitter: 0 })
  cut.clear()
  for (const name of control.hosts) {
    const node = fleet.nodes.get(name)
    if (node !== undefined) node.isFrozen = false
    if (node?.isDown === true) control.start(name)
  }
  advance(8_000)
  const leader = control.leaders()[0]
  if (leader === undefined || control.leaders().length !== 1) return [...checker.violations, `${control.leaders().length} leaders after the repair`]
  const final = control.propose(leader, putWorkspace('last', 'last', 'final', 0))
  advance(1_500)
  if (control.proposalAnswers.get(final)?.receipt === null) checker.violations.push('no command commits after the repair')
  for (const [call, workspace] of pendingCalls) {
    const receipt = control.proposalAnswers.get(call)?.receipt
    if (receipt === undefined || receipt === null) continue
    accepted.push(call)
    const key = `${workspace}@${receipt.version}`
    if (versions.has(key)) checker.violations.push(`two operators received success for ${key}`)
    versions.set(key, receipt.index)
    for (const name of control.hosts) {
      const version = control.tables(name).configuration.workspaces.get(toId<WorkspaceId>(workspace))?.version ?? 0
      if (version < receipt.version) checker.violations.push(`${name} lost accepted change ${key}`)
    }
  }
  return checker.violations
}

t.test('random kills, partitions, freezes, message loss and races violate no invariant', async t => {
  const property = fc.property(fc.nat(1_000_000), steps, fc.constantFrom(
    { loss: 0, doubled: 0, jitter: 0 },
    { loss: 0.1, doubled: 0.1, jitter: 40 },
    { loss: 0.3, doubled: 0.2, jitter: 200 }
  ), fc.constantFrom(2, 30), (seed, plan, network, syncMs) => {
    const violations = runSteps(seed, plan, network, syncMs)
    if (violations.length > 0) throw new Error(violations.join('; '))
  })
  const runs = Number(process.env.RHUBARBSEAM_RUNS ?? 60)
  const seed = Number(process.env.RHUBARBSEAM_SEED ?? 20261204)
  t.doesNotThrow(() => { fc.assert(property, { endOnFailure: process.env.RHUBARBSEAM_SHRINK === undefined, seed, numRuns: runs }) })
})

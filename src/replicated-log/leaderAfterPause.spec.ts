import t from 'tap'
import { toId } from '../core/id.js'
import type { HostId, OperatorId, RequestId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import { startRegionalControl } from '../stand-ins/regionalControl.js'
import type { VirtualControl } from '../stand-ins/virtualControl.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { delayByRegion } from '../stand-ins/virtualTopology.js'
import type { CallId } from './types.js'

const PAUSES_MS: readonly Millis[] = [1_000, 3_000, 10_000, 30_000]
const START_MS: Millis = 15_000
const WATCHED_MS: Millis = 5_000

const putWorkspace = (control: VirtualControl, host: HostId, name: string): CallId =>
  control.propose(host, { requestId: toId<RequestId>(name), operator: toId<OperatorId>('ann'), roles: ['assign'], command: { kind: 'put-workspace', workspace: toId(name), expectedVersion: 0, rate: 1, burst: 1, weight: 1 } })

const hasWorkspace = (control: VirtualControl, host: HostId, name: string): boolean => control.tables(host).configuration.workspaces.has(toId(name))

t.test('a leader that was paused answers no read and acknowledges no change by its former leadership', async t => {
  for (const pauseMs of PAUSES_MS) {
    for (const seed of [1, 2, 3]) {
      const name = `pause of ${pauseMs} ms, seed ${seed}`
      const fleet = new VirtualFleet(seed)
      fleet.network.delay = delayByRegion(35)
      const control = startRegionalControl(fleet)
      fleet.runFor(START_MS)
      const [paused] = control.leaders()
      const node = paused === undefined ? undefined : fleet.nodes.get(paused)
      if (paused === undefined || node === undefined) throw new Error('no leader')
      node.isFrozen = true
      // They wait in its socket buffers.
      const staleRead = control.read(paused)
      const staleChange = putWorkspace(control, paused, 'stale')
      fleet.runFor(pauseMs - 500)
      const next = control.leaders().find(host => host !== paused)
      const change = next === undefined ? null : putWorkspace(control, next, 'new')
      fleet.runFor(500)
      const isCommitted = change !== null && (control.proposalAnswers.get(change)?.receipt ?? null) !== null
      t.equal(isCommitted, pauseMs >= 3_000, `${name}: another leader has committed a change`)
      node.isFrozen = false
      const freshRead = control.read(paused)
      for (let elapsedMs = 0; elapsedMs < WATCHED_MS; elapsedMs += 5) {
        const isAnswered = [staleRead, freshRead].some(call => control.readAnswers.get(call)?.error === null)
        if (isAnswered && isCommitted && !hasWorkspace(control, paused, 'new')) t.fail(`${name}: it has answered a read without the change`)
        fleet.runFor(5)
      }
      const isAcknowledged = (control.proposalAnswers.get(staleChange)?.receipt ?? null) !== null
      if (isAcknowledged) t.ok(control.hosts.every(host => hasWorkspace(control, host, 'stale')), `${name}: what it has acknowledged is everywhere`)
      t.equal(control.leaders().length, 1, `${name}: one leader`)
    }
  }
})

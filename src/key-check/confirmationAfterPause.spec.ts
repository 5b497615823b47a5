import t from 'tap'
import { toId } from '../core/id.js'
import type { HostId, OperatorId, RequestId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import { ConfigurationBuilder, defaultTerms, keyDigestOf } from '../stand-ins/configurationBuilder.js'
import { founderSeeds, startRegionalControl } from '../stand-ins/regionalControl.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import { createLocations, delayByRegion } from '../stand-ins/virtualTopology.js'
import { checkKey } from './keyCheck.js'

const PAUSES_MS: readonly Millis[] = [1_000, 3_000, 10_000, 30_000]
/** Messages that arrive so soon after the start of a pause wait in the socket buffers; later ones are lost with their links. */
const RECEIVED_MS: Millis = 900
/** Time in which a change is committed. */
const PROPOSED_MS: Millis = 100
/** Confirmations count for so long. */
const STALE_AFTER_MS: Millis = 900
const CHECKED_MS: Millis = 3_000

const locations = createLocations(['n', 'm', 's'], 2, 1)
const terms = { ...defaultTerms, whenCutOff: 'refuse' as const, staleAfterMs: STALE_AFTER_MS }

// Withdraws a key while an entry host is paused, and returns how often the host, cut off as it is, accepts the key after the pause
// although its last confirmation is too old.
const countAccepted = (seed: number, pauseMs: Millis): number => {
  const fleet = new VirtualFleet(seed)
  fleet.network.delay = delayByRegion(35)
  const control = startRegionalControl(fleet)
  const snapshot = new ConfigurationBuilder().profile(terms).service('s').workspace('w', 100, 100).snapshot()
  const entry = new VirtualEntry(fleet, [], { ...snapshot, index: 0 }, undefined, 'tiered', founderSeeds(control))
  for (const location of locations) entry.startHost(location, false)
  fleet.runFor(15_000)
  const paused = toId<HostId>('n1-1')
  const node = fleet.nodes.get(paused)
  const tables = entry.tables(paused)
  if (node === undefined) throw new Error('no host')
  const propose = (number: number, command: Parameters<typeof control.propose>[1]['command']): void => {
    control.propose(control.leaders()[0] ?? paused, { requestId: toId<RequestId>(`r${number}`), operator: toId<OperatorId>('ann'), roles: ['draft', 'approve', 'assign'], command })
    fleet.runFor(PROPOSED_MS)
  }
  propose(1, { kind: 'put-workspace', workspace: toId('w'), expectedVersion: 0, rate: 1, burst: 1, weight: 1 })
  propose(2, { kind: 'give-key', digest: keyDigestOf('w'), workspace: toId('w') })
  fleet.runFor(1_000 + fleet.random.below(1_000))
  t.equal(checkKey(tables, keyDigestOf('w'), { ...terms, staleAfterMs: 2_000 }, fleet.now).tag, 'ok', 'the key is accepted before the pause')
  const lastVouchBy = fleet.now + RECEIVED_MS
  node.isFrozen = true
  fleet.runFor(RECEIVED_MS)
  fleet.network.isPartitioned = (from, to) => from === paused || to === paused
  propose(3, { kind: 'withdraw-key', digest: keyDigestOf('w') })
  fleet.runFor(pauseMs - RECEIVED_MS - PROPOSED_MS)
  node.isFrozen = false
  let accepted = 0
  for (let elapsedMs = 0; elapsedMs < CHECKED_MS; elapsedMs += 50) {
    fleet.runFor(1)
    if (fleet.now > lastVouchBy + STALE_AFTER_MS && checkKey(tables, keyDigestOf('w'), terms, fleet.now).tag === 'ok') accepted += 1
    fleet.runFor(49)
  }
  return accepted
}

t.test('a confirmation that arrived during a pause of the process does not count from its end', async t => {
  for (const pauseMs of PAUSES_MS) {
    for (const seed of [1, 2, 3]) t.equal(countAccepted(seed, pauseMs), 0, `pause of ${pauseMs} ms, seed ${seed}`)
  }
})

import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import t from 'tap'
import { toId } from '../core/id.js'
import { runTick } from '../core/tick.js'
import { createEntryWorld, createPolicies } from '../entry/entryWorld.js'
import type { EntryInput } from '../entry/types.js'
import { BlockTable } from '../lookup/blockTable.js'
import { ConfigurationBuilder, keyDigestOf, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { createLocations } from '../stand-ins/virtualTopology.js'
import { openRecorder } from '../journal/recorder.js'
import { loadExpectations, replayTrace, unmetExpectations } from './replayTrace.js'
import type { TraceStart } from './replayTrace.js'

const start: TraceStart = {
  self: { host: toId('n1-1'), role: 'entry', region: toId('n'), zone: toId('n1'), site: toId('n1'), link: { address: '127.0.0.1', port: 1 }, callers: { address: '127.0.0.1', port: 2 }, epoch: 1, incarnation: 0, state: 'alive' },
  seeds: [],
  randomSeed: 5,
  now: 0,
  policies: { allowance: 'lending', choice: 'two-choices', queue: 'max-min', records: 'rendezvous', suspicion: 'shared', shift: 'capped' }
}

const snapshot = new ConfigurationBuilder().profile(defaultTerms).service('lookup').hosts(createLocations(['n'], 1, 1)).workspace('w', 100, 50).snapshot()

const request = (number: number): EntryInput => ({
  kind: 'request', exchange: toId(`x${number}`), target: { kind: 'service', service: toId('lookup') }, affinity: null, method: 'GET', path: '/', key: keyDigestOf('w'), timeoutMs: null, fingerprint: `f${number}`, replayable: true, idempotencyKey: null, ticketAgeMs: null
})

const peer = toId<typeof start.self.host>('n1-2')

// A key is withdrawn while requests arrive. The configuration and the withdrawal come in messages from a peer.
const inputs: ReadonlyArray<readonly [number, EntryInput[]]> = [
  [0, []],
  [10, [request(1)]],
  [20, [{ kind: 'message', from: peer, message: { kind: 'snapshot', snapshot } }, { kind: 'message', from: peer, message: { kind: 'rumors', rumors: [{ topic: 'vouch', vouch: { index: snapshot.index, term: 1, sequence: 1, ageMs: 0 } }] } }]],
  [500, [{ kind: 'announcement', announcement: { service: toId('lookup'), backend: toId('b'), region: toId('n'), zone: toId('n1'), target: { address: '127.0.0.1', port: 9 }, slots: 4, epoch: 1, sequence: 1, state: 'up', coldMs: 0 } }]],
  [900, [request(2), request(3)]],
  [910, [{ kind: 'message', from: peer, message: { kind: 'rumors', rumors: [{ topic: 'withdrawal', digest: keyDigestOf('w') }] } }]],
  [920, [request(4), request(5)]]
]

t.test('a recorded inbox replays to the same outbox, and the outcomes are compared with the expected ones', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'rhubarbseam-replay-'))
  t.teardown(() => { rmSync(folder, { recursive: true }) })
  const path = join(folder, 'key-withdrawn.trace')
  const recorder = openRecorder(path, start)
  const world = createEntryWorld({ ...start, blocks: new BlockTable([]), policies: createPolicies(start.policies) })
  for (const [now, inbox] of inputs) recorder.record(now, inbox, runTick(world, now, inbox))
  recorder.close()

  const replayed = replayTrace(path)
  if (replayed.tag === 'error') throw new Error(replayed.error.kind)
  t.equal(replayed.value.firstDifference, null)
  t.matchSnapshot(replayed.value.outcomes)
  const expected = join(folder, 'expected.yaml')
  writeFileSync(expected, 'refuse key-withdrawn not-run: 2\nstart-attempt: { atLeast: 1, atMost: 2 }\n')
  const expectations = loadExpectations(expected)
  if (expectations.tag === 'error') throw new Error(expectations.error.kind)
  t.same(unmetExpectations(replayed.value, expectations.value), [])
  t.matchSnapshot(unmetExpectations(replayed.value, { 'refuse key-withdrawn not-run': 3, 'cut-answer': { atLeast: 1 } }))

  const differingRecorder = openRecorder(path, { ...start, policies: { ...start.policies, allowance: 'fixed-part' }, randomSeed: 6 })
  const secondWorld = createEntryWorld({ ...start, blocks: new BlockTable([]), policies: createPolicies(start.policies) })
  for (const [now, inbox] of inputs) differingRecorder.record(now, inbox, runTick(secondWorld, now, inbox).slice(1))
  differingRecorder.close()
  const differingReplay = replayTrace(path)
  t.ok(differingReplay.tag === 'ok' && differingReplay.value.firstDifference !== null, 'the difference is reported')
})

t.test('unreadable files give errors', async t => {
  t.equal(replayTrace('/nonexistent').tag, 'error')
  t.equal(loadExpectations('/nonexistent').tag, 'error')
})

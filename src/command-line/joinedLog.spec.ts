import t from 'tap'
import { describeLine, joinLogs } from './joinedLog.js'

const START = Date.parse('2026-01-01T00:00:00Z')

interface LoggedEvent { readonly at: number, readonly event: string, readonly subject: string, readonly [fact: string]: unknown }

// The log of a process that started `startedMs` after START. `stepMs` gives the step of its wall clock at each line.
const logOf = (host: string, startedMs: number, lines: readonly LoggedEvent[], stepMs: (at: number) => number = () => 0): string =>
  lines.map(line => JSON.stringify({ name: 'rhubarbseam', host, hostname: 'm', pid: 7, level: 30, msg: 'decision', v: 0, time: new Date(START + startedMs + line.at + stepMs(line.at)).toISOString(), profile: null, ...line })).join('\n')

const describeJoined = (logs: readonly string[], subject: string): string[] => joinLogs(logs, subject).map(describeLine)

t.test('a request refused under load: its refusal, the earlier loss of a server, and the configuration in force', async t => {
  const first = logOf('n1', 0, [
    { at: 1_000, event: 'configuration', subject: 'configuration', from: '6', to: '7', planVersion: 7, evacuated: '' },
    { at: 4_000, event: 'backend', subject: 's/one', from: 'up', to: 'gone', zone: 'n', epoch: 1, sequence: 9, silentMs: null },
    { at: 4_200, event: 'refused', subject: 'r1', reason: 'overloaded', service: 's', waitedMs: 37.5, queued: 12, profile: 'plan@7' },
    { at: 4_300, event: 'refused', subject: 'r2', reason: 'over-rate', workspace: 'w', profile: 'plan@7' }
  ])
  t.matchSnapshot(describeJoined([first], 'r1'))
})

t.test('a lost response: the retry names the server, and another host ejected that server', async t => {
  const first = logOf('n1', 0, [
    { at: 5_000, event: 'retry', subject: 'r3', backend: 's/two', zone: 'n', inFlight: 2, slots: 4, queueMs: 900 },
    { at: 5_800, event: 'refused', subject: 'r3', reason: 'attempt-failed', attempts: 2, result: 'lost', cause: 'ECONNRESET' }
  ])
  const second = logOf('n2', 300, [
    { at: 5_100, event: 'ejected', subject: 's/two', consecutiveFailures: 3, forMs: 2_000 },
    { at: 5_200, event: 'ejected', subject: 's/three', consecutiveFailures: 3, forMs: 2_000 }
  ])
  t.matchSnapshot(describeJoined([second, first], 'r3'))
})

t.test('a request refused after the host lost the quorum: the loss is shown, and a step of its wall clock does not change the order', async t => {
  const lines: LoggedEvent[] = [
    { at: 100, event: 'configuration', subject: 'configuration', from: null, to: '1', planVersion: 1, evacuated: '' },
    { at: 9_000, event: 'quorum', subject: 'quorum', from: 'in touch', to: 'out of touch', ageMs: 3_010 },
    { at: 9_500, event: 'peer', subject: 'n9', from: 'alive', to: 'suspect', role: 'control', zone: 'm', epoch: 1 },
    { at: 9_900, event: 'refused', subject: 'r4', reason: 'configuration-stale', configurationIndex: 1, configurationAgeMs: 3_910 }
  ]
  const stepped = logOf('n1', 0, lines, at => at === 9_900 ? -2_400_000 : 0)
  t.matchSnapshot(describeJoined(['not a line', stepped], 'r4'))
})

t.test('a request without log lines gives an empty result', async t => {
  t.same(joinLogs([logOf('n1', 0, [{ at: 1, event: 'refused', subject: 'r5' }])], 'r6'), [])
})

import t from 'tap'
import { readFileSync } from 'node:fs'
import { EventLog, LINES_PER_SECOND, LINE_BURST } from './eventLog.js'
import { renderEventReference } from './eventRegistry.js'
import type { JournalRow } from './journal.js'

const refused = (at: number, subject: string): JournalRow => ({ at, event: 'refused', subject, facts: { reason: 'overloaded' }, profile: 'plan@1' })

const lostPeer = (at: number): JournalRow => ({ at, event: 'peer', subject: 'n1', facts: { from: 'alive', to: 'suspect' }, profile: null })

interface Line { readonly fields: Record<string, unknown>, readonly message: string }

const createRecordedLog = (): { lines: Line[], log: EventLog } => {
  const lines: Line[] = []
  return { lines, log: new EventLog({ info: (fields, message) => { lines.push({ fields, message }) } }) }
}

t.test('log lines stay within the rate limit, and dropped events are counted', async t => {
  const { lines, log } = createRecordedLog()
  const seconds = 10
  const perSecond = 500
  for (let count = 0; count < seconds * perSecond; count += 1) log.write(refused(count * 1_000 / perSecond, `request ${count}`))
  const decisions = lines.filter(line => line.message === 'decision').length
  let dropped = 0
  for (const { fields, message } of lines) if (message === 'events dropped by the rate limit') dropped += Number(fields.lines)
  t.ok(decisions <= LINE_BURST + seconds * LINES_PER_SECOND, 'the rate limit holds')
  t.ok(decisions + dropped >= seconds * perSecond - perSecond / LINES_PER_SECOND, 'every event is written or counted')
})

t.test('refused requests do not use up the rate limit of events about peers', async t => {
  const { lines, log } = createRecordedLog()
  for (let count = 0; count < 1_000; count += 1) log.write(refused(0, `request ${count}`))
  log.write(lostPeer(0))
  t.matchSnapshot(lines.at(-1))
})

t.test('first attempts are not logged', async t => {
  const { lines, log } = createRecordedLog()
  log.write({ at: 0, event: 'attempt', subject: 'request', facts: {}, profile: null })
  t.same(lines, [])
})

t.test('the reference page matches the event registry', async t => {
  t.equal(`${renderEventReference()}\n`, readFileSync('docs/EVENTS.md', 'utf8'), 'run npm run docs')
})

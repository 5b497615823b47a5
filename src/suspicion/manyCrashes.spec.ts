import t from 'tap'
import { RowTable } from '../core/table.js'
import { toId } from '../core/id.js'
import type { BackendRow } from '../announcement/types.js'
import type { ExchangeRow } from '../exchange/types.js'
import { decodeMessage, encodeMessage } from '../front-end/linkCodec.js'
import { SharedSuspicion } from './suspicionPolicy.js'
import type { SuspectId, SuspicionRow } from './types.js'

// Guards against a rumor that no other host accepts, so that each message with it is lost whole, probes included.

const CRASHES = 65
const MINUTE_MS = 60_000
const exchange = { service: toId('s'), workspace: null, fingerprint: 'GET / ' } as unknown as ExchangeRow

t.test('other hosts accept the suspicion of a request that was running on many servers when these ended, one after the other', async t => {
  const policy = new SharedSuspicion()
  const tables = { suspicions: new RowTable<SuspectId, SuspicionRow>(row => row.suspicion.suspect) }
  for (let n = 0; n < CRASHES; n += 1) {
    const backend = { key: `s/b${n}`, announcement: { epoch: n } } as unknown as BackendRow
    policy.recordCrash(tables, exchange, backend, n * MINUTE_MS)
    policy.recordCompletion(tables, exchange, n * MINUTE_MS + 1)
  }
  t.equal(policy.judge(tables, exchange), 'innocent', 'each crash was cleared')
  const rumors = [...tables.suspicions.rows()].map(({ suspicion }) => ({ topic: 'suspicion' as const, suspicion }))
  t.match(decodeMessage(encodeMessage({ kind: 'probe', sequence: 1, index: 1, rumors })), { tag: 'ok' })
})

t.test('a crash that was cleared stays cleared while further ones come and are cleared', async t => {
  const policy = new SharedSuspicion()
  const tables = { suspicions: new RowTable<SuspectId, SuspicionRow>(row => row.suspicion.suspect) }
  const verdicts: string[] = []
  for (let n = 0; n < 3 * CRASHES; n += 1) {
    const backend = { key: `s/b${(n * 37) % 1_000}`, announcement: { epoch: n } } as unknown as BackendRow
    policy.recordCrash(tables, exchange, backend, n)
    verdicts.push(policy.judge(tables, exchange))
    policy.recordCompletion(tables, exchange, n)
    verdicts.push(policy.judge(tables, exchange))
  }
  t.same(verdicts, Array.from({ length: 3 * CRASHES }, () => ['suspect', 'innocent']).flat())
})

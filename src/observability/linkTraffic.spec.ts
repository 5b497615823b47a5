import t from 'tap'
import type { Log } from './log.js'
import { LinkTraffic } from './linkTraffic.js'

void t.test('writes the sums since the last line, largest first, and no line without traffic', t => {
  const lines: unknown[] = []
  const traffic = new LinkTraffic({ info: (fields: unknown) => { lines.push(fields) } } as unknown as Log)
  t.teardown(() => { traffic.close() })
  traffic.countSent('probe', 'zone', 100)
  traffic.countSent('sync', 'fleet', 900)
  traffic.countSent('probe', 'zone', 120)
  traffic.writeSummary()
  traffic.writeSummary()
  t.matchSnapshot(JSON.stringify(lines))
  t.end()
})

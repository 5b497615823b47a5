import t from 'tap'
import { LINE_BURST } from '../journal/eventLog.js'
import { HandlerFaults } from './handlerFaults.js'
import { Metrics } from './metrics.js'

t.test('each error is counted, and a flood of them does not flood the log', async t => {
  const metrics = new Metrics(false)
  const lines: unknown[] = []
  const faults = new HandlerFaults(metrics, { error: (fields: unknown) => { lines.push(fields) } } as never)
  for (let n = 0; n < 10 * LINE_BURST; n += 1) faults.record('callers', new Error('handler failed'))
  const { values } = await metrics.handlerFaults.get()
  t.same(values.map(({ labels, value }) => [labels.listener, value]), [['callers', 10 * LINE_BURST]])
  t.ok(lines.length >= LINE_BURST && lines.length < 2 * LINE_BURST, `lines: ${lines.length}`)
})

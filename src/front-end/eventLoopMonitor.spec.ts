import t from 'tap'
import { EventLoopMonitor } from './eventLoopMonitor.js'

const spin = (millis: number): void => {
  const end = performance.now() + millis
  while (performance.now() < end);
}

t.test('a loop without rest is saturated, one that sleeps is not', async t => {
  await new Promise(resolve => setTimeout(resolve, 20))
  const watch = new EventLoopMonitor()
  await new Promise(resolve => setTimeout(resolve, 300))
  t.equal(watch.isSaturated(), false)
  for (let turn = 0; turn < 20; turn += 1) {
    spin(10)
    await new Promise(resolve => setImmediate(resolve))
  }
  t.equal(watch.isSaturated(), true)
  await new Promise(resolve => setTimeout(resolve, 300))
  t.equal(watch.isSaturated(), false)
})

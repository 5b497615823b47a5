import t from 'tap'
import { EventLoopMonitor } from './eventLoopMonitor.js'

const blockFor = (durationMs: number): void => {
  const end = performance.now() + durationMs
  while (performance.now() < end);
}

t.test('an event loop that is always busy counts as saturated, an idle one does not', async t => {
  await new Promise(resolve => setTimeout(resolve, 20))
  const monitor = new EventLoopMonitor()
  await new Promise(resolve => setTimeout(resolve, 300))
  t.equal(monitor.isSaturated(), false)
  for (let iteration = 0; iteration < 20; iteration += 1) {
    blockFor(10)
    await new Promise(resolve => setImmediate(resolve))
  }
  t.equal(monitor.isSaturated(), true)
  await new Promise(resolve => setTimeout(resolve, 300))
  t.equal(monitor.isSaturated(), false)
})

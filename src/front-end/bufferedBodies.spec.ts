import t from 'tap'
import { BufferedBodies } from './bufferedBodies.js'

const MAX_BYTES = 100_000

t.test('bodies find room until the bound is reached, small ones always', async t => {
  const bodies = new BufferedBodies<string>(MAX_BYTES)
  t.ok(bodies.take('a', 60_000))
  t.notOk(bodies.take('b', 60_000))
  t.ok(bodies.take('c', 40_000))
  t.notOk(bodies.take('d', 5_000))
  t.ok(bodies.take('small', 4_096))
  bodies.release('a')
  bodies.release('a')
  bodies.release('b')
  t.ok(bodies.take('b', 60_000))
  t.notOk(bodies.take('d', 5_000))
})

import t from 'tap'
import { ConnectionLimit, MAX_SILENT_CONNECTIONS, MAX_SILENT_MS, MIN_SILENT_MS } from './connectionLimit.js'

t.test('at the limit, the oldest silent connection gives way to a new one', async t => {
  const limit = new ConnectionLimit<string>(3)
  limit.add('used', 0)
  limit.markUsed('used')
  t.equal(limit.add('old', 1), null)
  t.equal(limit.add('young', MIN_SILENT_MS), null)
  t.equal(limit.add('new', 1 + MIN_SILENT_MS), 'old')
  t.equal(limit.add('next', 1 + MIN_SILENT_MS), 'next', 'the request of a young one may be in transit')
  limit.remove('used')
  t.equal(limit.add('later', 1 + MIN_SILENT_MS), null)
})

t.test('a connection that has sent a request is never closed for being idle', async t => {
  const limit = new ConnectionLimit<string>(1)
  limit.add('used', 0)
  limit.markUsed('used')
  t.same(limit.takeExpired(100 * MAX_SILENT_MS), [])
  t.equal(limit.add('new', 100 * MAX_SILENT_MS), 'new')
})

t.test('a silent connection is closed at its age, and the oldest of too many before that', async t => {
  const limit = new ConnectionLimit<number>(Infinity)
  for (let n = 0; n < MAX_SILENT_CONNECTIONS + 2; n += 1) limit.add(n, n === 0 ? 0 : 10)
  t.same(limit.takeExpired(MIN_SILENT_MS), [0], 'the others are young')
  t.same(limit.takeExpired(10 + MIN_SILENT_MS), [1])
  t.same(limit.takeExpired(9 + MAX_SILENT_MS), [])
  t.equal(limit.takeExpired(10 + MAX_SILENT_MS).length, MAX_SILENT_CONNECTIONS)
  t.equal(limit.hasSilent, false)
})

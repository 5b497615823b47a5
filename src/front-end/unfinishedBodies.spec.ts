import t from 'tap'
import { PROGRESS_BYTES, SMALL_BODY_BYTES, STALLED_MS, UnfinishedBodies } from './unfinishedBodies.js'

const MAX_BYTES = 1024 * 1024

t.test('the newest body is given up for room, and small ones take none', async t => {
  const bodies = new UnfinishedBodies<string>(MAX_BYTES)
  t.same(bodies.grow('a', MAX_BYTES / 2, 0), [])
  t.same(bodies.grow('b', MAX_BYTES / 2, 1), [])
  t.same(bodies.grow('small', SMALL_BODY_BYTES, 1), [])
  t.same(bodies.grow('c', SMALL_BODY_BYTES + 1, 1), ['c'])
  t.same(bodies.grow('a', MAX_BYTES / 2 + 1, 2), ['b'], 'an older one goes on')
  t.same(bodies.grow('a', MAX_BYTES + 1, 2), ['a'])
  t.equal(bodies.totalBytes, 0)
})

t.test('a body without progress gives way to a newer one', async t => {
  const bodies = new UnfinishedBodies<string>(MAX_BYTES)
  bodies.grow('stalled', MAX_BYTES - PROGRESS_BYTES, 0)
  bodies.grow('stalled', MAX_BYTES - PROGRESS_BYTES + 1, STALLED_MS - 1)
  t.same(bodies.grow('early', PROGRESS_BYTES, STALLED_MS - 1), ['early'])
  t.same(bodies.grow('late', PROGRESS_BYTES, STALLED_MS), ['stalled'])
  t.equal(bodies.totalBytes, PROGRESS_BYTES)
})

t.test('a body that is whole takes no room', async t => {
  const bodies = new UnfinishedBodies<string>(MAX_BYTES)
  bodies.grow('a', MAX_BYTES, 0)
  bodies.remove('a')
  bodies.remove('a')
  t.same(bodies.grow('b', MAX_BYTES, 0), [])
})

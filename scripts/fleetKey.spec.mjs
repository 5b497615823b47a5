import { readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import t from 'tap'
import { ensureFleetKey } from './fleetKey.mjs'

// Guards against a fleet that falls apart because one of its machines was built again.

t.test('a build keeps the key that an earlier one made', async t => {
  const file = join(t.testdir(), 'fleet.key')
  ensureFleetKey(file)
  const key = readFileSync(file, 'utf8')
  t.match(key, /^[0-9a-f]{64}\n$/)
  ensureFleetKey(file)
  t.equal(readFileSync(file, 'utf8'), key)
})

t.test('a build replaces a key file that holds no key', async t => {
  const file = join(t.testdir(), 'fleet.key')
  for (const content of ['', 'short\n']) {
    writeFileSync(file, content)
    ensureFleetKey(file)
    t.match(readFileSync(file, 'utf8'), /^[0-9a-f]{64}\n$/)
  }
})

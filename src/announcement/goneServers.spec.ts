import t from 'tap'
import { toId } from '../core/id.js'
import { nextDeadline, runTick } from '../core/tick.js'
import type { EntryInput } from '../entry/types.js'
import { createEntryWorld, defaultPolicies } from '../entry/entryWorld.js'
import { BlockTable } from '../lookup/blockTable.js'
import type { Announcement } from './types.js'

// Guards against an entry host that keeps a row for each server that ever was, since servers come back under new names.

const SERVERS = 100
const HOUR_MS = 3_600_000
const address = { address: '127.0.0.1', port: 1 }

const announcementOf = (number: number, state: Announcement['state']): Announcement =>
  ({ service: toId('s'), backend: toId(`b${number}`), region: toId('n'), zone: toId('n1'), target: { address: '127.0.0.1', port: 1_000 + number }, slots: 4, epoch: 1, sequence: 1, state, coldMs: 0 })

t.test('an entry host forgets the servers that a control host has marked as gone', async t => {
  let now = 1_000
  const world = createEntryWorld({
    self: { host: toId('n1-1'), role: 'entry', region: toId('n'), zone: toId('n1'), site: toId('n1'), link: address, callers: address, epoch: 1, incarnation: 0, state: 'alive' },
    seeds: [],
    blocks: new BlockTable([]),
    randomSeed: 1,
    policies: defaultPolicies(),
    now
  })
  const tick = (inbox: readonly EntryInput[]): void => { runTick(world, now, inbox) }
  for (let number = 0; number < SERVERS; number += 1) {
    for (const state of ['up', 'gone'] as const) {
      now += 10
      tick([{ kind: 'message', from: toId('c1'), message: { kind: 'rumors', rumors: [{ topic: 'announcement', announcement: announcementOf(number, state) }] } }])
    }
  }
  const endAt = now + HOUR_MS
  while (now < endAt) {
    now = Math.min(endAt, Math.max(now + 1, nextDeadline(world)))
    tick([])
  }
  t.equal(world.tables.backends.size, 0, `${world.tables.backends.size} of ${SERVERS} rows after an hour`)
})

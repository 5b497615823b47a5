import t from 'tap'
import { toId } from '../core/id.js'
import { createBackendTable, mergeAnnouncement, applyReports } from './announcementTopic.js'
import type { Announcement, AnnouncementTables } from './types.js'

const announce = (backend: string, service: string, changes: Partial<Announcement> = {}): Announcement => ({
  service: toId(service), backend: toId(backend), region: toId('n'), zone: toId('n1'), target: { address: '10.0.0.1', port: 80 }, slots: 6, epoch: 1, sequence: 1, state: 'up', coldMs: 0, ...changes
})

const createTables = (): AnnouncementTables => ({ backends: createBackendTable() })

const states = (tables: AnnouncementTables): Record<string, string> =>
  Object.fromEntries([...tables.backends.rows()].map(row => [row.key, `${row.announcement.state} ${row.announcement.epoch}/${row.announcement.sequence}`]))

t.test('transfers an address to the server that started there last, despite later announcements of earlier servers', async t => {
  const tables = createTables()
  const seen: unknown[] = []
  const receive = (announcement: Announcement): void => {
    const isNews = mergeAnnouncement(tables, announcement, 0)
    seen.push({ isNews, ...states(tables) })
  }
  receive(announce('old', 'a', { sequence: 5 }))
  receive(announce('new', 'b', { epoch: 2 }))
  receive(announce('old', 'a', { sequence: 6 }))
  receive(announce('old', 'a', { sequence: 7, state: 'draining' }))
  receive(announce('older', 'c', { epoch: 0, sequence: 9 }))
  t.matchSnapshot(seen)
  t.same(applyReports(tables, [{ service: toId('a'), backend: toId('old'), epoch: 1, sequence: 9 }], toId('c2'), 1), [], 'also for a report of another control host')
})

t.test('restores a server marked gone when any control host reports a newer announcement', async t => {
  const tables = createTables()
  mergeAnnouncement(tables, announce('one', 'a', { sequence: 3 }), 0)
  mergeAnnouncement(tables, announce('one', 'a', { sequence: 3, state: 'gone' }), 0)
  const restored = applyReports(tables, [{ service: toId('a'), backend: toId('one'), epoch: 1, sequence: 4 }], toId('c2'), 1)
  t.same(restored.map(row => row.backend), ['one'])
  t.matchSnapshot(states(tables))
})

t.test('resets the state when a server restarts, and keeps a draining server draining within one epoch', async t => {
  const tables = createTables()
  const receive = (changes: Partial<Announcement>): Record<string, string> => {
    mergeAnnouncement(tables, announce('one', 'a', changes), 0)
    return states(tables)
  }
  t.matchSnapshot([receive({ sequence: 9 }), receive({ sequence: 10, state: 'draining' }), receive({ sequence: 11 }), receive({ epoch: 2, sequence: 1 }), receive({ sequence: 12 })])
})

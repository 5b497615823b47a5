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

t.test('an address belongs to the server that started last there, whatever an earlier one still says', async t => {
  const tables = createTables()
  const seen: unknown[] = []
  const take = (announcement: Announcement): void => {
    const isNews = mergeAnnouncement(tables, announcement, 0)
    seen.push({ isNews, ...states(tables) })
  }
  take(announce('old', 'a', { sequence: 5 }))
  take(announce('new', 'b', { epoch: 2 }))
  take(announce('old', 'a', { sequence: 6 }))
  take(announce('old', 'a', { sequence: 7, state: 'draining' }))
  take(announce('older', 'c', { epoch: 0, sequence: 9 }))
  t.matchSnapshot(seen)
  t.same(applyReports(tables, [{ service: toId('a'), backend: toId('old'), epoch: 1, sequence: 9 }], 1), [], 'also when another control host heard it')
})

t.test('a server that was taken for gone is back when any control host hears it', async t => {
  const tables = createTables()
  mergeAnnouncement(tables, announce('one', 'a', { sequence: 3 }), 0)
  mergeAnnouncement(tables, announce('one', 'a', { sequence: 3, state: 'gone' }), 0)
  const revived = applyReports(tables, [{ service: toId('a'), backend: toId('one'), epoch: 1, sequence: 4 }], 1)
  t.same(revived.map(row => row.backend), ['one'])
  t.matchSnapshot(states(tables))
})

t.test('a server that starts again under its name begins anew, and a draining one stays so within its life', async t => {
  const tables = createTables()
  const take = (changes: Partial<Announcement>): Record<string, string> => {
    mergeAnnouncement(tables, announce('one', 'a', changes), 0)
    return states(tables)
  }
  t.matchSnapshot([take({ sequence: 9 }), take({ sequence: 10, state: 'draining' }), take({ sequence: 11 }), take({ epoch: 2, sequence: 1 }), take({ sequence: 12 })])
})

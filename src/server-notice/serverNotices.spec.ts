import t from 'tap'
import { applyReports, createBackendTable, markLeaving, mergeAnnouncement } from '../announcement/announcementTopic.js'
import type { Announcement, AnnouncementTables } from '../announcement/types.js'
import { toId } from '../core/id.js'
import type { Millis } from '../core/tick.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { VirtualEntry } from '../stand-ins/virtualEntry.js'
import { VirtualFleet } from '../stand-ins/virtualFleet.js'
import type { VirtualServer } from '../stand-ins/virtualServer.js'
import { createLocations } from '../stand-ins/virtualTopology.js'
import { NoticeSystem } from './noticeSystem.js'

const SLOTS = 4
const WORK_MS: Millis = 100
const SERVERS_PER_ZONE = 4
const START_MS: Millis = 12_000

interface Fixture { readonly fleet: VirtualFleet, readonly entry: VirtualEntry, readonly servers: readonly VirtualServer[] }

const start = (seed: number): Fixture => {
  const fleet = new VirtualFleet(seed)
  const locations = createLocations(['n', 'm', 's'], 1, 3)
  const snapshot = new ConfigurationBuilder().profile({ ...defaultTerms, shiftCap: 1 }).service('s', 2_000).workspace('w', 1e6, 1e6).hosts(locations).snapshot()
  const entry = new VirtualEntry(fleet, locations, snapshot)
  const servers: VirtualServer[] = []
  for (const zone of ['n1', 'm1', 's1']) {
    for (let number = 0; number < SERVERS_PER_ZONE; number += 1) servers.push(Object.assign(entry.addServer('s', `${zone}-b${number}`, zone, SLOTS, WORK_MS), { queueCapacity: 8, reportsLoad: true }))
  }
  fleet.runFor(START_MS)
  return { fleet, entry, servers }
}

const sendLoad = ({ fleet, entry, servers }: Fixture, load: number, forMs: Millis): void => {
  const perSecond = load * servers.length * SLOTS * 1_000 / WORK_MS
  entry.sendAtRate('w', 's', perSecond, fleet.now, fleet.now + forMs, (_, n) => entry.locations[n % entry.locations.length]?.host ?? '')
}

const countBy = (entry: VirtualEntry, from: Millis): Record<string, number> => {
  const counts: Record<string, number> = {}
  for (const { kind, reason, sentAt } of entry.outcomes) {
    if (sentAt >= from) counts[`${kind} ${reason}`.trim()] = (counts[`${kind} ${reason}`.trim()] ?? 0) + 1
  }
  return counts
}

t.test('a third of a service leaves at once at peak load', async t => {
  for (const seed of [1, 2, 3]) {
    const fixture = start(seed)
    const { fleet, entry, servers } = fixture
    const leftAt = fleet.now + 3_000
    sendLoad(fixture, 0.6, 8_000)
    fleet.runUntil(leftAt)
    const leaving = servers.filter((_, position) => position % 3 === 0)
    for (const server of leaving) server.isLeaving = true
    // The first answer of each says so; within a second every host knows.
    fleet.runUntil(leftAt + 1_000)
    const started = leaving.map(server => server.startedCount)
    fleet.runUntil(leftAt + 8_000)
    t.same(leaving.map(server => server.startedCount), started, `seed ${seed}: no request reaches a server that has left`)
    const { served = 0, ...others } = countBy(entry, leftAt)
    const refused = Object.values(others).reduce((sum, count) => sum + count, 0)
    t.ok(refused <= served / 100, `seed ${seed}: ${refused} refused, ${served} served`)
    t.equal(entry.outcomes.length, entry.sentCount, `seed ${seed}: each request ends`)
  }
})

t.test('all of a service asks for pauses that end together', async t => {
  for (const seed of [1, 2, 3]) {
    const fixture = start(seed)
    const { fleet, entry, servers } = fixture
    const pausedAt = fleet.now + 2_000
    const pauseUntil = pausedAt + 1_500
    sendLoad(fixture, 0.6, 8_000)
    fleet.runUntil(pausedAt)
    for (const server of servers) server.pauseUntil = pauseUntil
    fleet.runUntil(pausedAt + 500)
    const shed = servers.map(server => server.shedCount)
    fleet.runUntil(pauseUntil - 20)
    for (const [position, server] of servers.entries()) {
      const arrivals = server.shedCount - (shed[position] ?? 0)
      t.ok(arrivals <= 2 * entry.locations.length, `seed ${seed}: ${arrivals} requests of ${entry.locations.length} hosts in the pause`)
    }
    const shedInPause = servers.reduce((sum, server) => sum + server.shedCount, 0)
    fleet.runUntil(pauseUntil + 4_500)
    const shedAfter = servers.reduce((sum, server) => sum + server.shedCount, 0) - shedInPause
    const served = entry.outcomes.filter(outcome => outcome.kind === 'served' && outcome.endedAt >= pauseUntil).length
    t.ok(shedAfter <= served / 100, `seed ${seed}: servers turn ${shedAfter} away after the pause, ${served} are served`)
    const late = entry.outcomes.filter(outcome => outcome.sentAt >= pauseUntil + 2_500 && outcome.kind !== 'served').length
    t.equal(late, 0, `seed ${seed}: all are served again 2.5 s after the pause`)
  }
})

const announce = (changes: Partial<Announcement>): Announcement => ({ service: toId('a'), backend: toId('one'), region: toId('n'), zone: toId('n1'), target: { address: 'one', port: 1 }, slots: 4, epoch: 1, sequence: 5, state: 'up', coldMs: 0, ...changes })

t.test('nothing that is heard of a server that has left brings it back in its epoch', async t => {
  const heard: Record<string, (tables: AnnouncementTables) => unknown> = {
    'a newer announcement': tables => mergeAnnouncement(tables, announce({ sequence: 9 }), 1),
    'an older announcement': tables => mergeAnnouncement(tables, announce({ sequence: 2 }), 1),
    'a report of a control host': tables => applyReports(tables, [{ service: toId('a'), backend: toId('one'), epoch: 1, sequence: 9 }], toId('c'), 1),
    'gone, then a report': tables => {
      mergeAnnouncement(tables, announce({ sequence: 9, state: 'gone' }), 1)
      return applyReports(tables, [{ service: toId('a'), backend: toId('one'), epoch: 1, sequence: 10 }], toId('c'), 1)
    },
    'gone, then a newer announcement': tables => {
      mergeAnnouncement(tables, announce({ sequence: 9, state: 'gone' }), 1)
      return mergeAnnouncement(tables, announce({ sequence: 10 }), 1)
    },
    'a new epoch': tables => mergeAnnouncement(tables, announce({ epoch: 2, sequence: 1 }), 1)
  }
  const states: Record<string, string | undefined> = {}
  for (const [name, hear] of Object.entries(heard)) {
    const { fleet, entry } = start(1)
    const tables = entry.tables('n1-1')
    const local: AnnouncementTables = { backends: createBackendTable() }
    mergeAnnouncement(local, announce({}), 0)
    const row = local.backends.get('a/one')
    if (row === undefined) throw new Error('no row')
    tables.backends.put(row)
    markLeaving({ now: fleet.now, random: fleet.random, tables, inbox: [], emit: () => {} }, row)
    hear(tables)
    states[name] = tables.backends.get('a/one')?.announcement.state
  }
  t.matchSnapshot(states)
  t.ok(mergeAnnouncement({ backends: createBackendTable() }, announce({ state: 'draining' }), 0), 'a host that does not know the server learns that it leaves')
})

t.test('a drain that is heard after a newer announcement counts all the same', async t => {
  const tables: AnnouncementTables = { backends: createBackendTable() }
  mergeAnnouncement(tables, announce({ sequence: 9 }), 0)
  t.ok(mergeAnnouncement(tables, announce({ sequence: 5, state: 'draining' }), 0))
  t.match(tables.backends.get('a/one')?.announcement, { state: 'draining', sequence: 9 })
})

t.test('a pause of 0 is none, a shorter one does not end a longer one, and a restarted server has asked for nothing', async t => {
  const { fleet, entry } = start(1)
  const tables = entry.tables('n1-1')
  const server = tables.backends.get('s/n1-b0')
  if (server === undefined) throw new Error('no server')
  const pauseFor = (pauseMs: Millis, epoch = server.announcement.epoch): Millis => {
    new NoticeSystem().run({ now: fleet.now, random: fleet.random, tables, inbox: [{ kind: 'attempt', exchange: toId('x'), attempt: toId('x.1'), result: { kind: 'lost', reason: '' }, notice: { backend: server.key, epoch, isLeaving: false, pauseMs } }], emit: () => {} })
    return Math.max(0, server.pausedUntil - fleet.now)
  }
  t.equal(pauseFor(0), 0)
  t.equal(server.pausedUntil, 0, 'its limit stays as it was')
  t.equal(pauseFor(3_000, server.announcement.epoch + 1), 0, 'said by another process')
  t.equal(pauseFor(3_000), 3_000)
  t.equal(pauseFor(1_000), 3_000)
  mergeAnnouncement(tables, { ...server.announcement, epoch: server.announcement.epoch + 1 }, fleet.now)
  t.equal(server.pausedUntil, 0)
})

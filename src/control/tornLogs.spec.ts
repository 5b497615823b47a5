import { appendFileSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import t from 'tap'
import { toId } from '../core/id.js'
import type { OperatorId, RequestId, ZoneId } from '../core/id.js'
import { encodeRecord } from '../replicated-log/diskFormat.js'
import type { CallId, DiskRecord } from '../replicated-log/types.js'
import { LocalControl } from '../stand-ins/localControl.js'
import type { LocalHost } from '../stand-ins/localControl.js'

// Guards against a group that doesn't come back after all its hosts lost power amid a write, and two of them their logs.

const NAMES = ['c1', 'c2', 'c3', 'c4', 'c5', 'c6']
const FOUNDERS = 3
const PAGE_BYTES = 4_096
const LIMIT_MS = 20_000
const ATTEMPT_MS = 300

const holds = (host: LocalHost, zone: string): boolean => host.context?.tables.configuration.evacuations.has(toId<ZoneId>(zone)) === true

const waitUntil = async (condition: () => boolean): Promise<boolean> => {
  const end = performance.now() + LIMIT_MS
  while (performance.now() < end) {
    if (condition()) return true
    await delay(20)
  }
  return false
}

/** Sends a change to the leader until it is confirmed. */
const confirm = async (control: LocalControl, zone: string): Promise<boolean> => {
  const end = performance.now() + LIMIT_MS
  for (let attempt = 0; performance.now() < end; attempt += 1) {
    const leader = control.hosts.find(host => host.context?.tables.replica.role === 'leader')
    const call = toId<CallId>(`${zone}-${attempt}`)
    leader?.context?.push({ kind: 'propose', call, envelope: { requestId: toId<RequestId>(zone), operator: toId<OperatorId>('ann'), roles: ['assign'], command: { kind: 'start-evacuation', zone: toId<ZoneId>(zone) } } })
    await delay(ATTEMPT_MS)
    if (leader?.answers.some(row => row.kind === 'proposal-answer' && row.call === call && row.error === null) === true) return true
  }
  return false
}

// The page with the header of an unsynced frame is lost, later ones are kept.
const tearLastWrite = ({ dataFolder }: LocalHost): void => {
  const record: DiskRecord = { kind: 'entries', entries: [{ index: 99, term: 99, payload: { kind: 'command', envelope: { requestId: toId<RequestId>('x'.repeat(3 * PAGE_BYTES)), operator: toId<OperatorId>('ann'), roles: [], command: { kind: 'start-evacuation', zone: toId<ZoneId>('z') } } } }] }
  const path = join(dataFolder, 'log')
  const lost = PAGE_BYTES - readFileSync(path).length % PAGE_BYTES
  appendFileSync(path, encodeRecord(record).fill(0, 0, lost))
}

const damage = ({ dataFolder }: LocalHost): void => {
  const path = join(dataFolder, 'log')
  const bytes = readFileSync(path)
  bytes[20] = (bytes[20] ?? 0) ^ 0xff
  writeFileSync(path, bytes)
}

t.test('six control hosts come back by themselves after a loss of power that tore all logs and damaged two', async t => {
  const control = await LocalControl.create(NAMES, FOUNDERS)
  t.teardown(async () => { await control.close() })
  for (const host of control.hosts) t.equal((await control.start(host)).tag, 'ok')
  t.ok(await waitUntil(() => control.hosts.some(host => host.context?.tables.replica.group.voters.length === NAMES.length)), 'all are voters')
  t.ok(await confirm(control, 'before'), 'a change is confirmed')
  for (const host of control.hosts) await control.stop(host)
  for (const host of control.hosts) tearLastWrite(host)
  const damaged = control.hosts.filter(({ host }) => host === 'c1' || host === 'c5')
  for (const host of damaged) damage(host)
  for (const host of control.hosts) t.equal((await control.start(host)).tag, 'ok', `${host.host} starts`)
  t.ok(await confirm(control, 'after'), 'changes are confirmed again')
  t.ok(await waitUntil(() => control.hosts.every(host => holds(host, 'before') && holds(host, 'after'))), 'every host holds both changes')
  for (const host of control.hosts) {
    const lost = await host.context?.metrics.lostReplicas.get()
    t.equal(lost?.values[0]?.value, damaged.includes(host) ? 1 : 0, `${host.host}: lost replicas`)
  }
})

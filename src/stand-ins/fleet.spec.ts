import { execFile } from 'node:child_process'
import { createServer } from 'node:net'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import t from 'tap'
import { stringify } from 'yaml'
import { request } from 'undici'
import { countDuplicateRuns } from '../invariants/runInvariant.js'
import { Caller } from './caller.js'
import type { CallerOutcome } from './caller.js'
import { Fleet } from './fleet.js'
import type { BackendStatistics } from './backendServer.js'
import { WAIT_TIMEOUT_MS, sleep, waitUntil } from './waiting.js'

const terms = { shiftCap: 0.5, shiftWindowMs: 60_000, allowedRegions: [], drainMs: 10_000, whenCutOff: 'serve', staleAfterMs: 10_000 }

const runBinary = async (args: readonly string[]): Promise<{ code: number | null, error: string }> => await new Promise(resolve => {
  execFile(process.execPath, ['dist/rhubarbseam.cjs', ...args], (error, _stdout, stderr) => {
    resolve({ code: error === null ? 0 : Number(error.code), error: stderr.split('\n', 1)[0] ?? '' })
  })
})

t.test('wrong use and bad settings end with a stated code and one clear line', async t => {
  const folder = mkdtempSync(join(tmpdir(), 'rhubarbseam-cli-'))
  t.teardown(() => { rmSync(folder, { recursive: true }) })
  const write = (name: string, content: string): string => {
    writeFileSync(join(folder, name), content)
    return join(folder, name)
  }
  const portHolder = createServer()
  await new Promise<void>(resolve => { portHolder.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { portHolder.close() })
  const bound = portHolder.address()
  const takenPort = typeof bound === 'object' && bound !== null ? bound.port : 0
  const entry = {
    role: 'entry', host: 'e', region: 'r', zone: 'z', link: { address: '127.0.0.1', port: takenPort }, callers: { address: '127.0.0.1', port: 0 }, announcements: { address: '127.0.0.1', port: 0 }, announcementKeyFile: 'announcement.key', fleetKeyFile: 'fleet.key'
  }
  write('announcement.key', 'announcement-secret-1234\n')
  const unreadable = write('unreadable.yaml', stringify({ ...entry, fleetKeyFile: 'absent.key' }))
  write('fleet.key', 'fleet-secret-12345678901\n')
  const portTaken = write('taken.yaml', stringify(entry))
  const bad = write('bad.yaml', stringify({ ...entry, colour: 'red' }))
  const normalize = (result: { code: number | null, error: string }): string => `${result.code ?? 'none'}: ${result.error.replaceAll(folder, 'FOLDER').replaceAll(String(takenPort), 'PORT')}`
  const cases: Record<string, readonly string[]> = {
    noCommand: [],
    unknownCommand: ['fly'],
    unknownOption: ['run', '--speed', '3'],
    noConfig: ['run'],
    badSettings: ['run', '--config', bad],
    checkBad: ['check', '--config', bad],
    checkGood: ['check', '--config', portTaken],
    unreadableKey: ['run', '--config', unreadable],
    portTaken: ['run', '--config', portTaken],
    foundEntry: ['found', '--config', portTaken],
    noControl: ['status'],
    missingNumber: ['put-workspace', 'w', '--control', '127.0.0.1:1', '--token-file', join(folder, 'fleet.key')],
    version: ['--version'],
    help: ['run', '--help']
  }
  const results: Record<string, string> = {}
  for (const [name, args] of Object.entries(cases)) results[name] = normalize(await runBinary(args))
  t.matchSnapshot(results)
})

t.test('a fleet of processes under kills, freezes and a planned stop', async t => {
  const fleet = new Fleet({
    zones: [{ region: 'north', zone: 'north-a' }, { region: 'middle', zone: 'middle-a' }, { region: 'south', zone: 'south-a' }],
    entryHostsPerZone: 1,
    controlZones: ['north-a', 'middle-a', 'south-a'],
    recordsTicks: true,
    services: [{ service: 'lookup', serversPerZone: 2, slots: 6, workMs: 5 }, { service: 'deposit', serversPerZone: 2, slots: 6, workMs: 5 }]
  })
  t.teardown(async () => { await fleet.stop() })
  await fleet.start()
  await fleet.configure('careful', terms, 8_000)
  const key = await fleet.addWorkspace('w', 500, 250)
  await fleet.waitUntilReady(WAIT_TIMEOUT_MS)
  const status = async (): Promise<{ leader: string | null, isCurrent: boolean, index: number, inForce: { hosts: number }, backendServers: Array<{ state: string }> }> => await fleet.call('operator', 'GET', '/v1/status') as never
  await waitUntil('all servers are announced', async () => (await status()).backendServers.filter(row => row.state === 'up').length === 12)
  const outcomes: CallerOutcome[] = []
  const caller = new Caller('w', key, () => fleet.entryHosts.map(host => host.addresses.callers ?? ''))
  // New record hosts accept only tickets that were issued at least the maximum clock skew after they became record hosts.
  await waitUntil('deposits are served', async () => (await caller.send({ service: 'deposit', method: 'POST', bytes: 10 })).kind === 'served')
  const traffic = { isOn: true }
  const trafficDone = (async () => {
    const pending: Array<Promise<unknown>> = []
    for (let n = 0; traffic.isOn; n += 1) {
      pending.push(caller.send(n % 3 === 0 ? { service: 'deposit', method: 'POST', bytes: 100 } : { service: 'lookup', method: 'GET', bytes: 0 }).then(outcome => { outcomes.push(outcome) }))
      await sleep(15)
    }
    await Promise.all(pending)
  })()

  await t.test('a planned stop of an entry host cuts no request', async t => {
    const stoppedHost = fleet.entryHosts[0]
    stoppedHost?.child.kill('SIGTERM')
    await waitUntil('the host has stopped', () => stoppedHost?.child.exitCode !== null)
    t.equal(stoppedHost?.child.exitCode, 0)
    t.same(outcomes.filter(row => row.kind !== 'served').map(row => `${row.service} ${row.kind} ${row.reason}`), [], 'a planned stop refuses and cuts no request')
    const replayed = await runBinary(['replay', fleet.traceFile(stoppedHost?.name ?? '')])
    t.equal(replayed.code, 0, 'what it recorded replays to the same outbox')
    fleet.restartEntry(stoppedHost?.name ?? '')
    await waitUntil('it has restarted with the newest configuration', async () => (await status()).inForce.hosts === 3)
  })

  await t.test('the leading control host is killed: commands go on, nothing accepted is lost', async t => {
    const before = await status()
    const leader = fleet.controlHosts.find(host => host.name === before.leader)
    leader?.child.kill('SIGKILL')
    await fleet.addWorkspace('after-the-kill', 1, 1)
    fleet.restartControl(leader?.name ?? '')
    await waitUntil('every host has the new configuration', async () => {
      const now = await status()
      return now.isCurrent && now.index > before.index && now.inForce.hosts === 3
    })
    const { configuration } = await fleet.call('operator', 'GET', '/v1/configuration') as { configuration: { workspaces: Array<{ workspace: string }> } }
    t.same(configuration.workspaces.map(row => row.workspace), ['w', 'after-the-kill'])
  })

  await t.test('a frozen entry host comes back without a restart', async t => {
    const frozen = fleet.entryHosts[1]
    const stateOf = async (): Promise<string | undefined> => {
      const { members } = await fleet.call('operator', 'GET', '/v1/status') as { members: Array<{ host: string, state: string }> }
      return members.find(row => row.host === frozen?.name)?.state
    }
    frozen?.child.kill('SIGSTOP')
    await waitUntil('it is considered dead', async () => await stateOf() === 'dead')
    frozen?.child.kill('SIGCONT')
    await waitUntil('it is alive again', async () => await stateOf() === 'alive')
    t.pass('it refuted its death')
  })

  traffic.isOn = false
  await trafficDone
  await caller.close()
  const statistics = await Promise.all(fleet.backendServers.map(async server => {
    const answer = await request(`http://${server.addresses.backend ?? ''}/stand-in/statistics`)
    return await answer.body.json() as BackendStatistics
  }))
  const runs = new Map<string, number>()
  for (const row of statistics) {
    for (const [idempotencyKey, count] of Object.entries(row.runsByKey)) runs.set(idempotencyKey, (runs.get(idempotencyKey) ?? 0) + count)
  }
  t.equal(countDuplicateRuns(runs), 0, 'no deposit ran twice')
  t.equal(outcomes.filter(row => row.kind === 'wrong-answer').length, 0, 'every answer was the caller\'s own')
  t.equal(statistics.reduce((sum, row) => sum + row.keysSeen, 0), 0, 'no server saw a key')
  const wronglyNotRun = outcomes.filter(row => row.ran === 'not-run' && row.idempotencyKey !== null && (runs.get(row.idempotencyKey) ?? 0) > 0)
  t.same(wronglyNotRun, [], 'a refusal that says not-run is true')
})

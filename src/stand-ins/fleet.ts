/** Starts a small fleet of separate processes on loopback addresses, for the demo, the bench and tests. */

import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createHash, randomBytes } from 'node:crypto'
import { mkdirSync, mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { stringify } from 'yaml'
import { callControl } from '../command-line/operatorClient.js'
import type { CallTarget } from '../command-line/operatorClient.js'
import { ALLOWANCE_PARTS } from '../configuration/types.js'

/** An availability zone of the small fleet. */
export interface FleetZone { readonly region: string, readonly zone: string }

/** A service with the stand-ins that serve it in each zone. */
export interface FleetService {
  readonly service: string
  readonly serversPerZone: number
  readonly slots: number
  readonly workMs: number
}

/** What a small fleet is made of. */
export interface FleetOptions {
  readonly zones: readonly FleetZone[]
  readonly entryHostsPerZone: number
  /** Zones that have a control host. */
  readonly controlZones: readonly string[]
  readonly services: readonly FleetService[]
  readonly policies?: Readonly<Record<string, string>>
  /** Whether entry hosts record their ticks for replay. */
  readonly records?: boolean
}

/** A process of the fleet. */
export interface FleetProcess {
  readonly name: string
  readonly zone: string
  readonly child: ChildProcess
  readonly addresses: Readonly<Record<string, string>>
}

const OPERATOR_NAMES = ['drafter', 'legal', 'operator'] as const
type OperatorName = typeof OPERATOR_NAMES[number]
const ROLES: Readonly<Record<OperatorName, readonly string[]>> = { drafter: ['draft'], legal: ['approve'], operator: ['assign'] }

const secret = (): string => randomBytes(24).toString('base64url')
const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex')

const reservePort = async (address: string): Promise<number> => await new Promise((resolve, reject) => {
  const server = createServer()
  server.once('error', reject)
  server.listen(0, address, () => {
    const bound = server.address()
    const port = typeof bound === 'object' && bound !== null ? bound.port : 0
    server.close(() => { resolve(port) })
  })
})

/** Calls by which a fleet that starts looks for its leader. */
const START_ATTEMPTS = 100
const START_PAUSE_MS = 200

interface Place { readonly address: string, readonly ports: Record<string, number> }

/** A fleet whose processes this one has started, and only those it ends. */
export class Fleet {
  readonly folder = mkdtempSync(join(tmpdir(), 'rhubarbseam-'))
  readonly entryHosts: FleetProcess[] = []
  readonly controlHosts: FleetProcess[] = []
  readonly backendServers: FleetProcess[] = []
  readonly #tokens: Record<OperatorName, string> = { drafter: secret(), legal: secret(), operator: secret() }
  readonly #announcementToken = secret()
  readonly #settings = new Map<string, string>()

  constructor (readonly options: FleetOptions, readonly dist = resolve('dist')) {}

  /** Starts every process and waits for a leader; the caller waits for `ready`. */
  async start (): Promise<void> {
    this.#writeSecrets()
    const controlPlaces = await this.#places(this.options.controlZones.map(zone => `control-${zone}`), ['link', 'operators'], 1)
    const entryNames = this.options.zones.flatMap(({ zone }) => Array.from({ length: this.options.entryHostsPerZone }, (_, n) => `entry-${zone}-${n + 1}`))
    const entryPlaces = await this.#places(entryNames, ['link', 'callers', 'announcements', 'metrics'], 2)
    const seeds = [...controlPlaces].map(([host, place]) => ({ host, address: place.address, port: place.ports.link }))
    for (const [host, place] of controlPlaces) this.#startControl(host, place, seeds)
    for (const [host, place] of entryPlaces) this.#startEntry(host, place, seeds)
    await this.#startBackends()
    await this.#untilLed()
  }

  // On a machine that is busy with other things the processes take longer to start than an operator's call goes on trying.
  async #untilLed (): Promise<void> {
    for (let attempt = 0; attempt < START_ATTEMPTS; attempt += 1) {
      const answer = await callControl(this.target('operator'), 'GET', '/v1/status', undefined, secret())
      if (answer.tag === 'ok' && (answer.value as { isCurrent: boolean }).isCurrent) return
      await new Promise(resolve => setTimeout(resolve, START_PAUSE_MS))
    }
  }

  /** Calls the control hosts as one of the operators. */
  async call (operator: OperatorName, method: 'GET' | 'POST', path: string, body?: unknown, requestId: string = secret()): Promise<unknown> {
    const answer = await callControl(this.target(operator), method, path, body, requestId)
    if (answer.tag === 'error') throw new Error(`${path}: ${JSON.stringify(answer.error)}`)
    return answer.value
  }

  /** Where and as whom an operator calls. */
  target (operator: OperatorName): CallTarget {
    return { controlAddresses: this.controlHosts.map(host => host.addresses.operators ?? ''), token: this.#tokens[operator] }
  }

  async command (operator: OperatorName, command: unknown): Promise<unknown> { return await this.call(operator, 'POST', '/v1/commands', command) }

  /** Registers the entry hosts and one approved profile, with every service under it. */
  async configure (profile: string, terms: unknown, timeoutMs: number): Promise<void> {
    await this.command('drafter', { kind: 'draft-profile', profile, expectedVersion: 0, terms })
    await this.command('legal', { kind: 'approve-profile', profile, version: 1 })
    const parts = Math.floor(ALLOWANCE_PARTS / this.entryHosts.length)
    for (const host of this.entryHosts) {
      await this.command('operator', { kind: 'register-host', entryHost: { host: host.name, region: this.#regionOf(host.zone), zone: host.zone, site: host.zone, parts } })
    }
    for (const { service } of this.options.services) {
      await this.command('operator', { kind: 'put-service', service, expectedVersion: 0, profile, profileVersion: 1, timeoutMs, openPaths: ['/public'] })
    }
  }

  /** Creates a workspace and gives it a new key, which is returned. */
  async addWorkspace (workspace: string, rate: number, burst: number, weight = 1): Promise<string> {
    const key = secret()
    await this.command('operator', { kind: 'put-workspace', workspace, expectedVersion: 0, rate, burst, weight })
    await this.command('operator', { kind: 'give-key', digest: sha256(key), workspace })
    return key
  }

  async withdrawKey (key: string): Promise<void> { await this.command('operator', { kind: 'withdraw-key', digest: sha256(key) }) }

  /** Waits until every entry host has the newest configuration in force. */
  async ready (timeoutMs: number): Promise<void> {
    const deadline = Date.now() + timeoutMs
    for (;;) {
      const status = await this.call('operator', 'GET', '/v1/status') as { inForce: { hosts: number }, backendServers: unknown[], isCurrent: boolean }
      if (status.isCurrent && status.inForce.hosts >= this.entryHosts.length) return
      if (Date.now() > deadline) throw new Error(`the fleet is not ready: ${JSON.stringify(status.inForce)}`)
      await new Promise(resolve => setTimeout(resolve, 100))
    }
  }

  /** Starts a process again with the settings it had. */
  restartEntry (name: string): void {
    const position = this.entryHosts.findIndex(host => host.name === name)
    const old = this.entryHosts[position]
    const settings = this.#settings.get(name)
    if (old === undefined || settings === undefined) throw new Error(`no entry host ${name}`)
    this.entryHosts[position] = { ...old, child: this.#spawn(name, ['rhubarbseam.cjs', 'run', '--config', settings]) }
  }

  /** Starts a control host again, on the disk it had. */
  restartControl (name: string): void {
    const position = this.controlHosts.findIndex(host => host.name === name)
    const old = this.controlHosts[position]
    const settings = this.#settings.get(name)
    if (old === undefined || settings === undefined) throw new Error(`no control host ${name}`)
    this.controlHosts[position] = { ...old, child: this.#spawn(name, ['rhubarbseam.cjs', 'run', '--config', settings]) }
  }

  /** The trace that an entry host records. */
  traceFile (name: string): string { return join(this.folder, name, 'trace') }

  /** The data folder of a control host. */
  dataFolder (name: string): string { return join(this.folder, name, 'data') }

  /** Ends every process that this fleet has started. */
  async stop (): Promise<void> {
    const all = [...this.entryHosts, ...this.backendServers, ...this.controlHosts]
    await Promise.all(all.map(async ({ child }) => {
      if (child.exitCode !== null || child.signalCode !== null) return
      const ended = new Promise<void>(resolve => { child.once('exit', () => { resolve() }) })
      child.kill('SIGKILL')
      await ended
    }))
    rmSync(this.folder, { recursive: true, force: true })
  }

  #regionOf (zone: string): string { return this.options.zones.find(row => row.zone === zone)?.region ?? zone }

  #writeSecrets (): void {
    writeFileSync(join(this.folder, 'fleet.key'), `${secret()}\n`)
    writeFileSync(join(this.folder, 'announcement.key'), `${this.#announcementToken}\n`)
    const operators = OPERATOR_NAMES.map(name => ({ name, roles: ROLES[name], tokenDigest: sha256(this.#tokens[name]) }))
    writeFileSync(join(this.folder, 'operators.yaml'), stringify({ operators }))
  }

  async #places (names: readonly string[], uses: readonly string[], group: number): Promise<Map<string, Place>> {
    const places = new Map<string, Place>()
    for (const [number, name] of names.entries()) {
      const address = `127.${group}.${Math.floor(number / 200)}.${number % 200 + 10}`
      const ports: Record<string, number> = {}
      for (const use of uses) ports[use] = await reservePort(address)
      places.set(name, { address, ports })
    }
    return places
  }

  #zoneOf (name: string): string { return this.options.zones.find(row => name.includes(`-${row.zone}`))?.zone ?? '' }

  #writeSettings (name: string, settings: unknown): string {
    mkdirSync(join(this.folder, name), { recursive: true })
    const path = join(this.folder, name, 'settings.yaml')
    writeFileSync(path, stringify(settings))
    this.#settings.set(name, path)
    return path
  }

  #startControl (host: string, place: Place, seeds: ReadonlyArray<{ host: string, address: string, port: number | undefined }>): void {
    const zone = this.#zoneOf(host)
    const at = (use: string): { address: string, port: number } => ({ address: place.address, port: place.ports[use] ?? 0 })
    const path = this.#writeSettings(host, {
      role: 'control', host, region: this.#regionOf(zone), zone, link: at('link'), operators: at('operators'), operatorsFile: '../operators.yaml', fleetKeyFile: '../fleet.key', dataFolder: 'data', founders: seeds, seeds
    })
    const founding = this.#spawn(host, ['rhubarbseam.cjs', 'found', '--config', path])
    const process: FleetProcess = { name: host, zone, child: founding, addresses: { operators: `${place.address}:${place.ports.operators ?? 0}` } }
    this.controlHosts.push(process)
    founding.once('exit', () => { this.restartControl(host) })
  }

  #startEntry (host: string, place: Place, seeds: unknown): void {
    const zone = this.#zoneOf(host)
    const at = (use: string): { address: string, port: number } => ({ address: place.address, port: place.ports[use] ?? 0 })
    const path = this.#writeSettings(host, {
      role: 'entry', host, region: this.#regionOf(zone), zone, link: at('link'), callers: at('callers'), announcements: at('announcements'), metrics: at('metrics'), announcementKeyFile: '../announcement.key', fleetKeyFile: '../fleet.key', seeds, policies: this.options.policies ?? {}, ...(this.options.records === true ? { recordFile: 'trace' } : {})
    })
    const addresses = Object.fromEntries(Object.entries(place.ports).map(([use, port]) => [use, `${place.address}:${port}`]))
    this.entryHosts.push({ name: host, zone, addresses, child: this.#spawn(host, ['rhubarbseam.cjs', 'run', '--config', path]) })
  }

  async #startBackends (): Promise<void> {
    for (const { service, serversPerZone, slots, workMs } of this.options.services) {
      for (const [number, { zone }] of this.options.zones.entries()) {
        for (let copy = 1; copy <= serversPerZone; copy += 1) {
          const backend = `${service}-${zone}-${copy}`
          const address = `127.3.${number}.${copy + 10}`
          const port = await reservePort(address)
          const announceTo = this.entryHosts.filter(host => host.zone === zone).map(host => host.addresses.announcements)
          const path = join(this.folder, `${backend}.json`)
          writeFileSync(path, JSON.stringify({ service, backend, region: this.#regionOf(zone), zone, address, port, slots, announceTo, token: this.#announcementToken, workMs }))
          this.backendServers.push({ name: backend, zone, addresses: { backend: `${address}:${port}` }, child: this.#spawn(backend, ['backendServer.cjs', path]) })
        }
      }
    }
  }

  #spawn (name: string, args: readonly string[]): ChildProcess {
    const output = openSync(join(this.folder, `${name}.log`), 'a')
    const [script = '', ...rest] = args
    return spawn(process.execPath, [join(this.dist, script), ...rest], { stdio: ['ignore', output, output] })
  }
}

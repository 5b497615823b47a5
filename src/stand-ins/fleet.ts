/** Starts a small fleet of separate processes on loopback addresses, for the demo, benchmarks and tests. */

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

/** An availability zone of the fleet. */
export interface FleetZone { readonly region: string, readonly zone: string }

/** A service with the fake backend servers that serve it in each zone. */
export interface FleetService {
  readonly service: string
  readonly serversPerZone: number
  readonly slots: number
  readonly workMs: number
}

/** Hosts, services and policies of the fleet. */
export interface FleetOptions {
  readonly zones: readonly FleetZone[]
  readonly entryHostsPerZone: number
  /** Zones with a control host. */
  readonly controlZones: readonly string[]
  readonly services: readonly FleetService[]
  readonly policies?: Readonly<Record<string, string>>
  /** Whether entry hosts record their ticks for replay. */
  readonly recordsTicks?: boolean
}

/** A process of the fleet. `addresses` holds HOST:PORT by listener name. */
export interface FleetProcess {
  readonly name: string
  readonly zone: string
  readonly child: ChildProcess
  readonly addresses: Readonly<Record<string, string>>
}

const OPERATOR_NAMES = ['drafter', 'legal', 'operator'] as const
type OperatorName = typeof OPERATOR_NAMES[number]
const ROLES: Readonly<Record<OperatorName, readonly string[]>> = { drafter: ['draft'], legal: ['approve'], operator: ['assign'] }

const createSecret = (): string => randomBytes(24).toString('base64url')
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

/** Maximum number of status requests that are sent until a leader is elected. */
const LEADER_POLL_LIMIT = 100
const LEADER_POLL_INTERVAL_MS = 200

interface HostPorts { readonly address: string, readonly ports: Record<string, number> }

/** Starts, configures and stops a fleet of child processes. Stops only processes that it has started. */
export class Fleet {
  readonly folder = mkdtempSync(join(tmpdir(), 'rhubarbseam-'))
  readonly entryHosts: FleetProcess[] = []
  readonly controlHosts: FleetProcess[] = []
  readonly backendServers: FleetProcess[] = []
  readonly #tokens: Record<OperatorName, string> = { drafter: createSecret(), legal: createSecret(), operator: createSecret() }
  readonly #announcementToken = createSecret()
  readonly #settings = new Map<string, string>()

  constructor (readonly options: FleetOptions, readonly dist = resolve('dist')) {}

  /** Starts all processes and waits for a leader. Call `waitUntilReady` after `configure`. */
  async start (): Promise<void> {
    this.#writeSecrets()
    const controlPorts = await this.#reservePorts(this.options.controlZones.map(zone => `control-${zone}`), ['link', 'operators'], 1)
    const entryNames = this.options.zones.flatMap(({ zone }) => Array.from({ length: this.options.entryHostsPerZone }, (_, n) => `entry-${zone}-${n + 1}`))
    const entryPorts = await this.#reservePorts(entryNames, ['link', 'callers', 'announcements', 'metrics'], 2)
    const seeds = [...controlPorts].map(([host, hostPorts]) => ({ host, address: hostPorts.address, port: hostPorts.ports.link }))
    for (const [host, hostPorts] of controlPorts) this.#startControl(host, hostPorts, seeds)
    for (const [host, hostPorts] of entryPorts) this.#startEntry(host, hostPorts, seeds)
    await this.#startBackends()
    await this.#waitForLeader()
  }

  // On a busy machine the processes can take longer to start than one operator call keeps retrying.
  async #waitForLeader (): Promise<void> {
    for (let attempt = 0; attempt < LEADER_POLL_LIMIT; attempt += 1) {
      const answer = await callControl(this.target('operator'), 'GET', '/v1/status', undefined, createSecret())
      if (answer.tag === 'ok' && (answer.value as { isCurrent: boolean }).isCurrent) return
      await new Promise(resolve => setTimeout(resolve, LEADER_POLL_INTERVAL_MS))
    }
  }

  /** Calls the control hosts as the given operator; throws if the call fails. */
  async call (operator: OperatorName, method: 'GET' | 'POST', path: string, body?: unknown, requestId: string = createSecret()): Promise<unknown> {
    const answer = await callControl(this.target(operator), method, path, body, requestId)
    if (answer.tag === 'error') throw new Error(`call of ${path} failed: ${JSON.stringify(answer.error)}`)
    return answer.value
  }

  /** Returns the control hosts' addresses and the token of an operator. */
  target (operator: OperatorName): CallTarget {
    return { controlAddresses: this.controlHosts.map(host => host.addresses.operators ?? ''), token: this.#tokens[operator] }
  }

  /** Sends a command as the given operator; throws if it is rejected. */
  async command (operator: OperatorName, command: unknown): Promise<unknown> { return await this.call(operator, 'POST', '/v1/commands', command) }

  /** Creates and approves a steering profile, then registers the entry hosts and all services under this profile. */
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

  /** Creates a workspace with a new key, and returns the key. */
  async addWorkspace (workspace: string, rate: number, burst: number, weight = 1): Promise<string> {
    const key = createSecret()
    await this.command('operator', { kind: 'put-workspace', workspace, expectedVersion: 0, rate, burst, weight })
    await this.command('operator', { kind: 'give-key', digest: sha256(key), workspace })
    return key
  }

  async withdrawKey (key: string): Promise<void> { await this.command('operator', { kind: 'withdraw-key', digest: sha256(key) }) }

  /** Waits until the latest configuration is in force at every entry host; throws after `timeoutMs`. */
  async waitUntilReady (timeoutMs: number): Promise<void> {
    const deadline = Date.now() + timeoutMs
    for (;;) {
      const status = await this.call('operator', 'GET', '/v1/status') as { inForce: { hosts: number }, backendServers: unknown[], isCurrent: boolean }
      if (status.isCurrent && status.inForce.hosts >= this.entryHosts.length) return
      if (Date.now() > deadline) throw new Error(`timed out waiting for the configuration to be in force at all entry hosts: ${JSON.stringify(status.inForce)}`)
      await new Promise(resolve => setTimeout(resolve, 100))
    }
  }

  /** Restarts an entry host with its previous settings. */
  restartEntry (name: string): void {
    const position = this.entryHosts.findIndex(host => host.name === name)
    const previous = this.entryHosts[position]
    const settings = this.#settings.get(name)
    if (previous === undefined || settings === undefined) throw new Error(`fleet has no entry host ${name}`)
    this.entryHosts[position] = { ...previous, child: this.#spawn(name, ['rhubarbseam.cjs', 'run', '--config', settings]) }
  }

  /** Restarts a control host with its previous settings and data folder. */
  restartControl (name: string): void {
    const position = this.controlHosts.findIndex(host => host.name === name)
    const previous = this.controlHosts[position]
    const settings = this.#settings.get(name)
    if (previous === undefined || settings === undefined) throw new Error(`fleet has no control host ${name}`)
    this.controlHosts[position] = { ...previous, child: this.#spawn(name, ['rhubarbseam.cjs', 'run', '--config', settings]) }
  }

  /** Path of the file in which an entry host records its ticks. */
  traceFile (name: string): string { return join(this.folder, name, 'trace') }

  /** Path of the data folder of a control host. */
  dataFolder (name: string): string { return join(this.folder, name, 'data') }

  /** Kills all processes of the fleet and removes its folder. */
  async stop (): Promise<void> {
    const processes = [...this.entryHosts, ...this.backendServers, ...this.controlHosts]
    await Promise.all(processes.map(async ({ child }) => {
      if (child.exitCode !== null || child.signalCode !== null) return
      const ended = new Promise<void>(resolve => { child.once('exit', () => { resolve() }) })
      child.kill('SIGKILL')
      await ended
    }))
    rmSync(this.folder, { recursive: true, force: true })
  }

  #regionOf (zone: string): string { return this.options.zones.find(row => row.zone === zone)?.region ?? zone }

  #writeSecrets (): void {
    writeFileSync(join(this.folder, 'fleet.key'), `${createSecret()}\n`)
    writeFileSync(join(this.folder, 'announcement.key'), `${this.#announcementToken}\n`)
    const operators = OPERATOR_NAMES.map(name => ({ name, roles: ROLES[name], tokenDigest: sha256(this.#tokens[name]) }))
    writeFileSync(join(this.folder, 'operators.yaml'), stringify({ operators }))
  }

  async #reservePorts (names: readonly string[], listeners: readonly string[], subnet: number): Promise<Map<string, HostPorts>> {
    const portsByHost = new Map<string, HostPorts>()
    for (const [number, name] of names.entries()) {
      const address = `127.${subnet}.${Math.floor(number / 200)}.${number % 200 + 10}`
      const ports: Record<string, number> = {}
      for (const listener of listeners) ports[listener] = await reservePort(address)
      portsByHost.set(name, { address, ports })
    }
    return portsByHost
  }

  #zoneOf (name: string): string { return this.options.zones.find(row => name.includes(`-${row.zone}`))?.zone ?? '' }

  #writeSettings (name: string, settings: unknown): string {
    mkdirSync(join(this.folder, name), { recursive: true })
    const path = join(this.folder, name, 'settings.yaml')
    writeFileSync(path, stringify(settings))
    this.#settings.set(name, path)
    return path
  }

  #startControl (host: string, hostPorts: HostPorts, seeds: ReadonlyArray<{ host: string, address: string, port: number | undefined }>): void {
    const zone = this.#zoneOf(host)
    const listenAt = (listener: string): { address: string, port: number } => ({ address: hostPorts.address, port: hostPorts.ports[listener] ?? 0 })
    const path = this.#writeSettings(host, {
      role: 'control', host, region: this.#regionOf(zone), zone, link: listenAt('link'), operators: listenAt('operators'), operatorsFile: '../operators.yaml', fleetKeyFile: '../fleet.key', dataFolder: 'data', founders: seeds, seeds
    })
    const founding = this.#spawn(host, ['rhubarbseam.cjs', 'found', '--config', path])
    const process: FleetProcess = { name: host, zone, child: founding, addresses: { operators: `${hostPorts.address}:${hostPorts.ports.operators ?? 0}` } }
    this.controlHosts.push(process)
    founding.once('exit', () => { this.restartControl(host) })
  }

  #startEntry (host: string, hostPorts: HostPorts, seeds: unknown): void {
    const zone = this.#zoneOf(host)
    const listenAt = (listener: string): { address: string, port: number } => ({ address: hostPorts.address, port: hostPorts.ports[listener] ?? 0 })
    const path = this.#writeSettings(host, {
      role: 'entry', host, region: this.#regionOf(zone), zone, link: listenAt('link'), callers: listenAt('callers'), announcements: listenAt('announcements'), metrics: listenAt('metrics'), announcementKeyFile: '../announcement.key', fleetKeyFile: '../fleet.key', seeds, policies: this.options.policies ?? {}, ...(this.options.recordsTicks === true ? { recordFile: 'trace' } : {})
    })
    const addresses = Object.fromEntries(Object.entries(hostPorts.ports).map(([listener, port]) => [listener, `${hostPorts.address}:${port}`]))
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

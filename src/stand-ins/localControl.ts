/** Runs control hosts with their real links and data folders in this process, for tests. */

import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { runControl } from '../control/controlRuntime.js'
import type { ControlContext, ControlRuntimeOptions } from '../control/controlRuntime.js'
import type { ControlAnswer } from '../control/types.js'
import type { Outcome } from '../core/outcome.js'
import { toId } from '../core/id.js'
import type { Address } from '../core/address.js'
import { createMember } from '../membership/createMember.js'
import { createLog } from '../observability/log.js'
import { HostAddresses } from '../process/hostAddresses.js'
import { SecretFile } from '../process/secretFile.js'
import type { RunningProcess, StartError } from '../process/runningProcess.js'
import { StartWait } from '../process/startWait.js'
import { AutomaticAdmission } from '../replicated-log/replicaAdmission.js'
import { foundingReplicaId } from '../replicated-log/replicaTables.js'
import type { Replica } from '../replicated-log/types.js'

const ADDRESS = '127.0.0.1'

const freeAddress = async (): Promise<Address> => {
  const server = createServer()
  await new Promise<void>(resolve => { server.listen(0, ADDRESS, resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => { server.close(resolve) })
  return { address: ADDRESS, port }
}

/** One control host of the group. */
export interface LocalHost {
  readonly host: string
  readonly link: Address
  readonly dataFolder: string
  /** The running process; null while it is stopped. */
  process: RunningProcess | null
  context: ControlContext | null
  readonly answers: ControlAnswer[]
}

/** Control hosts, the first ones of which found the group each time they start with an empty data folder. */
export class LocalControl {
  readonly #folder = mkdtempSync(join(tmpdir(), 'rhubarbseam-control-'))
  readonly hosts: LocalHost[] = []
  readonly #keys: SecretFile

  private constructor (readonly founders: number) {
    const keyFile = join(this.#folder, 'fleet.key')
    writeFileSync(keyFile, 'k'.repeat(64))
    const keys = SecretFile.open(keyFile)
    if (keys.tag === 'error') throw new Error(keys.error.kind)
    this.#keys = keys.value
  }

  /** Creates hosts that are not started yet. */
  static async create (names: readonly string[], founders: number): Promise<LocalControl> {
    const control = new LocalControl(founders)
    for (const host of names) {
      control.hosts.push({ host, link: await freeAddress(), dataFolder: join(control.#folder, host), process: null, context: null, answers: [] })
    }
    return control
  }

  /** Starts a host; returns an error if it cannot start. */
  async start (host: LocalHost): Promise<Outcome<RunningProcess, StartError>> {
    const addresses = await HostAddresses.claim(host.link, new StartWait(createLog(host.host, 'fatal'), new AbortController().signal))
    if (addresses.tag === 'error') return addresses
    const started = await runControl(this.#options(host, addresses.value))
    if (started.tag === 'ok') host.process = started.value
    return started
  }

  async stop (host: LocalHost): Promise<void> {
    await host.process?.stop()
    host.process = null
  }

  /** Stops all hosts and removes their folders. */
  async close (): Promise<void> {
    for (const host of this.hosts) await this.stop(host)
    rmSync(this.#folder, { recursive: true })
  }

  #options (host: LocalHost, addresses: HostAddresses): ControlRuntimeOptions {
    const seeds = this.hosts.slice(0, this.founders)
    const founders: Replica[] = seeds.map(seed => ({ replica: foundingReplicaId(toId(seed.host)), host: toId(seed.host), link: seed.link }))
    return {
      self: createMember('control', { host: host.host, region: 'n', zone: 'n1', link: host.link }, null),
      seeds: seeds.filter(seed => seed !== host).map(seed => ({ host: toId(seed.host), link: seed.link })),
      addresses,
      fleetKeys: this.#keys,
      dataFolder: host.dataFolder,
      founders: seeds.includes(host) ? founders : null,
      admission: new AutomaticAdmission(),
      reportExpiryMs: 2_000,
      metrics: undefined,
      log: createLog(host.host, 'fatal'),
      createFrontEnd: context => {
        host.context = context
        return { listeners: [], deliver: row => { host.answers.push(row) }, close: () => {} }
      }
    }
  }
}

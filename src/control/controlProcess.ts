/** Starts a control host from its settings, with the native HTTP interface of rhubarbseam for operators. */

import { readFileSync } from 'node:fs'
import { parse } from 'yaml'
import { z } from 'zod'
import { ANNOUNCEMENT_EXPIRY_MS } from '../announcement/announcementSystem.js'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import { toId } from '../core/id.js'
import { monotonicClock } from '../core/runner.js'
import { HostAddresses } from '../process/hostAddresses.js'
import { describeStartError } from '../process/runningProcess.js'
import type { RunningProcess, StartError } from '../process/runningProcess.js'
import { OperatorServer } from '../front-end/operatorServer.js'
import type { Operator } from '../front-end/operatorServer.js'
import { createMember } from '../membership/createMember.js'
import type { Log } from '../observability/log.js'
import { createReplica } from '../replicated-log/replicaCreation.js'
import { OperatorAdmission } from '../replicated-log/replicaAdmission.js'
import { foundingImage, foundingReplicaId } from '../replicated-log/replicaTables.js'
import type { Group, Replica } from '../replicated-log/types.js'
import { SecretFile } from '../process/secretFile.js'
import { ADDRESS_WAIT_MS, StartWait } from '../process/startWait.js'
import { toSeeds } from '../settings/seeds.js'
import type { ControlSettings } from '../settings/settingsSchema.js'
import { runControl } from './controlRuntime.js'

const operatorsSchema = z.strictObject({
  operators: z.array(z.strictObject({
    name: z.string().min(1),
    roles: z.array(z.enum(['draft', 'approve', 'assign'])),
    tokenDigest: z.string().regex(/^[0-9a-f]{64}$/)
  }))
})

const OPERATORS_RELOAD_INTERVAL_MS = 1_000

/** Reads the file of operators, their roles and token digests. */
export const loadOperators = (path: string): Outcome<readonly Operator[], StartError> => {
  try {
    const parsed = operatorsSchema.safeParse(parse(readFileSync(path, 'utf8')))
    if (parsed.success) return ok(parsed.data.operators as unknown as Operator[])
    const issue = parsed.error.issues[0]
    return fail({ kind: 'file-unusable', path, reason: `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}` })
  } catch (error) {
    return fail({ kind: 'file-unusable', path, reason: error instanceof Error ? error.message : 'unreadable' })
  }
}

const toReplica = (founder: ControlSettings['founders'][number]): Replica => ({
  replica: foundingReplicaId(toId(founder.host)),
  host: toId(founder.host),
  link: { address: founder.address, port: founder.port }
})

/** Writes the initial replica of a new group to the data folder. Must run exactly once on every founder. */
export const createFoundingReplica = async (settings: ControlSettings): Promise<Outcome<null, StartError>> => {
  const group: Group = { voters: settings.founders.map(toReplica), learners: [] }
  return await createReplica(settings.dataFolder, foundingImage(foundingReplicaId(toId(settings.host)), group))
}

/**
 * Returns a getter that reloads the operators at most once per interval, so that they can change without a restart.
 * If the file is unusable, the last valid operators stay in use.
 */
const watchOperators = (path: string, initial: readonly Operator[]): () => readonly Operator[] => {
  let operators = initial
  let loadedAt = monotonicClock()
  return () => {
    if (monotonicClock() - loadedAt < OPERATORS_RELOAD_INTERVAL_MS) return operators
    loadedAt = monotonicClock()
    const reloaded = loadOperators(path)
    if (reloaded.tag === 'ok') operators = reloaded.value
    return operators
  }
}

/** Starts a control host. Returns an error if it cannot start. */
export const startControlProcess = async (settings: ControlSettings, log: Log, stopRequest: AbortSignal): Promise<Outcome<RunningProcess, StartError>> => {
  const wait = new StartWait(log, stopRequest)
  const fleetKeys = await wait.retry(() => SecretFile.open(settings.fleetKeyFile), describeStartError)
  if (fleetKeys.tag === 'error') return fleetKeys
  const operators = await wait.retry(() => loadOperators(settings.operatorsFile), describeStartError)
  if (operators.tag === 'error') return operators
  const addresses = await HostAddresses.claim(settings.link, new StartWait(log, stopRequest, ADDRESS_WAIT_MS))
  if (addresses.tag === 'error') return addresses
  return await runControl({
    self: createMember('control', settings, null),
    seeds: toSeeds(settings.seeds),
    fleetKeys: fleetKeys.value,
    dataFolder: settings.dataFolder,
    founders: null,
    admission: new OperatorAdmission(),
    reportExpiryMs: ANNOUNCEMENT_EXPIRY_MS,
    addresses: addresses.value,
    metrics: settings.metrics,
    log,
    stopRequest,
    createFrontEnd: ({ tables, faults, push }) => {
      const server = new OperatorServer({ listen: settings.operators, operators: watchOperators(settings.operatorsFile, operators.value), tables, faults, now: monotonicClock, push })
      return {
        listeners: [{ what: 'operators', address: settings.operators, listen: async () => await server.listen() }],
        deliver: row => { if (row.kind === 'proposal-answer') server.deliver(row) },
        close: () => { server.close() }
      }
    }
  })
}

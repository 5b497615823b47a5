/** Starts an entry host from its settings, with the native HTTP interface of rhubarbseam. */

import { readFileSync } from 'node:fs'
import { fail, ok } from '../core/outcome.js'
import type { Outcome } from '../core/outcome.js'
import { isConfigured } from '../exchange/destination.js'
import { AnnouncementServer } from '../front-end/announcementServer.js'
import { CallerServer } from '../front-end/callerServer.js'
import { ServiceProtocol } from '../front-end/serviceProtocol.js'
import { BlockTable, parseBlock } from '../lookup/blockTable.js'
import type { ClientBlock } from '../lookup/blockTable.js'
import { createMember } from '../membership/createMember.js'
import type { Address } from '../core/address.js'
import type { Log } from '../observability/log.js'
import { Tracing } from '../observability/tracing.js'
import { HostAddresses } from '../process/hostAddresses.js'
import { describeStartError } from '../process/runningProcess.js'
import { SecretFile } from '../process/secretFile.js'
import { ADDRESS_WAIT_MS, StartWait } from '../process/startWait.js'
import { toSeeds } from '../settings/seeds.js'
import type { EntrySettings } from '../settings/settingsSchema.js'
import type { StartError, RunningProcess } from '../process/runningProcess.js'
import { runEntry } from './entryRuntime.js'
import type { EntryContext, EntryFrontEnd } from './entryRuntime.js'
import type { EntryTables } from './types.js'

/** Reads a file of client blocks: one block per line, with `#` comments. */
export const loadClientBlocks = (path: string): Outcome<BlockTable, StartError> => {
  const blocks: ClientBlock[] = []
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    return fail({ kind: 'file-unusable', path, reason: error instanceof Error ? error.message : 'unreadable' })
  }
  for (const [number, line] of text.split('\n').entries()) {
    if (line.trim() === '' || line.startsWith('#')) continue
    const block = parseBlock(line)
    if (block.tag === 'error') return fail({ kind: 'file-unusable', path, reason: `line ${number + 1}: not a client block: ${line}` })
    blocks.push(block.value)
  }
  return ok(new BlockTable(blocks))
}

const findAnnouncementPeers = (tables: EntryTables): Address[] => {
  const peers: Address[] = []
  for (const { member } of tables.members.rows()) {
    if (member.role === 'entry' && member.zone === tables.gossip.self.zone && member.state !== 'dead' && member.callers !== null) peers.push(member.callers)
  }
  return peers
}

const createFrontEnd = (settings: EntrySettings, announcementKeys: SecretFile, context: EntryContext): EntryFrontEnd => {
  const { tables, metrics, faults, tracing, push, isLeaving } = context
  const { host, epoch } = tables.gossip.self
  const callerServer = new CallerServer({ host: `${host}-${epoch.toString(36)}`, listen: settings.callers, protocol: new ServiceProtocol(), limits: settings.limits, metrics, faults, tracing, push, isConfigured: target => isConfigured(tables.configuration, target), isLeaving })
  const announcementServer = new AnnouncementServer({ listen: settings.announcements, tokens: () => announcementKeys.lines(), metrics, faults, push, peers: () => findAnnouncementPeers(tables) })
  return {
    listeners: [
      { what: 'callers', address: settings.callers, listen: async () => await callerServer.listen() },
      { what: 'announcements', address: settings.announcements, listen: async () => await announcementServer.listen() }
    ],
    deliver: row => { callerServer.deliver(row) },
    close: async graceMs => {
      await callerServer.close(graceMs)
      announcementServer.close()
    }
  }
}

/** Starts an entry host. Returns an error if it cannot start. */
export const startEntryProcess = async (settings: EntrySettings, log: Log, stopRequest: AbortSignal): Promise<Outcome<RunningProcess, StartError>> => {
  const wait = new StartWait(log, stopRequest)
  const fleetKeys = await wait.retry(() => SecretFile.open(settings.fleetKeyFile), describeStartError)
  if (fleetKeys.tag === 'error') return fleetKeys
  const announcementKeys = await wait.retry(() => SecretFile.open(settings.announcementKeyFile), describeStartError)
  if (announcementKeys.tag === 'error') return announcementKeys
  const blocks = settings.clientBlocksFile === undefined ? ok(new BlockTable([])) : loadClientBlocks(settings.clientBlocksFile)
  if (blocks.tag === 'error') return blocks
  const addresses = await HostAddresses.claim(settings.link, new StartWait(log, stopRequest, ADDRESS_WAIT_MS))
  if (addresses.tag === 'error') return addresses
  return await runEntry({
    self: createMember('entry', settings, settings.callers),
    seeds: toSeeds(settings.seeds),
    fleetKeys: fleetKeys.value,
    blocks: blocks.value,
    policies: settings.policies,
    addresses: addresses.value,
    metrics: settings.metrics,
    recordFile: settings.recordFile,
    tracing: settings.tracing.endpoint === undefined ? null : new Tracing(settings.tracing.endpoint, settings.tracing.sampleRatio, settings.host),
    log,
    createFrontEnd: context => createFrontEnd(settings, announcementKeys.value, context)
  })
}

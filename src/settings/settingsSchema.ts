/** The settings of a process: one schema with defaults, from which the reference page is made. */

import { z } from 'zod'
import { logLevels } from '../observability/log.js'

const ip = z.union([z.ipv4(), z.ipv6()]).describe('IP address')
const port = z.number().int().min(0).max(65535).describe('port; 0 lets the system choose')
const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/).describe('letters, digits, dot, dash and underscore')
const address = z.strictObject({ address: ip, port })

const identity = {
  host: name.describe('this host, unique in the fleet'),
  region: name.describe('the region that this host is in'),
  zone: name.describe('the availability zone that this host is in')
}

const shared = {
  link: address.describe('where other processes of the system reach this one'),
  fleetKeyFile: z.string().min(1).describe('file with the fleet\'s keys, one a line: the first proves this process, all are accepted; read again when it changes'),
  seeds: z.array(z.strictObject({ host: name, address: ip, port })).default([]).describe('hosts to contact first'),
  metrics: address.optional().describe('where metrics are served; keep it away from callers'),
  log: z.strictObject({ level: z.enum(logLevels).default('info').describe('least level that is written') }).prefault({}).describe('log, JSON lines on standard output'),
  recordFile: z.string().optional().describe('file that the inbox and outbox of each tick are recorded to, for replay')
}

/** Settings of an entry host. */
export const entrySettingsSchema = z.strictObject({
  role: z.literal('entry').describe('an entry host: look-ups and requests'),
  ...identity,
  site: name.optional().describe('the site that client blocks are steered to; the availability zone when absent'),
  callers: address.describe('where callers send look-ups and requests'),
  announcements: address.describe('where backend servers announce themselves'),
  announcementKeyFile: z.string().min(1).describe('file with the tokens that backend servers present, one a line; read again when it changes'),
  ...shared,
  clientBlocksFile: z.string().optional().describe('file with client blocks, one "ADDRESS/PREFIX SITE" a line'),
  limits: z.strictObject({
    bodyBytes: z.number().int().min(1).default(64 * 1024 * 1024).describe('largest request body, in bytes'),
    bufferedBodyBytes: z.number().int().min(0).default(16 * 1024).describe('bodies up to this size are kept so that the request can be sent again, in bytes'),
    headerBytes: z.number().int().min(1024).default(16 * 1024).describe('largest request head, in bytes'),
    connections: z.number().int().min(1).default(4096).describe('connections of callers at one time')
  }).prefault({}).describe('limits towards callers'),
  policies: z.strictObject({
    allowance: z.enum(['lending', 'frugal-lending', 'fixed-part']).default('lending').describe('how a workspace\'s allowance follows its demand between hosts'),
    choice: z.enum(['two-choices', 'random', 'expected-latency']).default('two-choices').describe('how a backend server is chosen'),
    queue: z.enum(['max-min', 'first-come', 'ranked-max-min']).default('max-min').describe('how a service\'s queue is ordered among workspaces'),
    records: z.enum(['rendezvous', 'none']).default('rendezvous').describe('where a non-idempotent request is recorded before it goes out'),
    suspicion: z.enum(['shared', 'none']).default('shared').describe('how requests that crash servers are found and contained'),
    shift: z.enum(['capped', 'uncapped']).default('capped').describe('how traffic between regions is decided'),
    retryBudget: z.strictObject({
      ratio: z.number().nonnegative().describe('retries that each first send of a service earns'),
      slack: z.number().nonnegative().describe('retries of a service beyond that, of all entry hosts together')
    }).optional().describe('a budget of retries that all entry hosts share; without it each host saves up its own')
  }).prefault({}).describe('policies; the first of each is the default, the others are baselines to compare with'),
  tracing: z.strictObject({
    endpoint: z.url().optional().describe('OTLP endpoint over HTTP; without one no span is made'),
    sampleRatio: z.number().min(0).max(1).default(1).describe('part of new traces that is exported, 0 to 1')
  }).prefault({}).describe('traces')
})

/** Settings of a control host. */
export const controlSettingsSchema = z.strictObject({
  role: z.literal('control').describe('a control host: the replicated log and the operators\' interface'),
  ...identity,
  operators: address.describe('where operators send commands'),
  operatorsFile: z.string().min(1).describe('YAML file of operators: name, roles, and the SHA-256 of the token; read again when it changes'),
  dataFolder: z.string().min(1).describe('folder on a disk for the log; its files last once they are synced'),
  founders: z.array(z.strictObject({ host: name, address: ip, port })).min(1).describe('the control hosts of the first group, this one among them; used by `found` only'),
  ...shared
})

/** Settings of any process. */
export const settingsSchema = z.discriminatedUnion('role', [entrySettingsSchema, controlSettingsSchema])

/** Checked settings of an entry host. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>
/** Checked settings of a control host. */
export type ControlSettings = z.infer<typeof controlSettingsSchema>
/** Checked settings of any process. */
export type Settings = z.infer<typeof settingsSchema>

/** The schema of the settings of a process, with defaults. The reference page is generated from it. */

import { z } from 'zod'
import { logLevels } from '../observability/log.js'

const ip = z.union([z.ipv4(), z.ipv6()]).describe('IP address')
const port = z.number().int().min(0).max(65535).describe('port; 0 for any free port')
const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/).describe('letters, digits, dots, dashes and underscores')
const address = z.strictObject({ address: ip, port })

const identity = {
  host: name.describe('name of this host, unique in the fleet'),
  region: name.describe('region of this host'),
  zone: name.describe('availability zone of this host')
}

const shared = {
  link: address.describe('address for links from other processes of the fleet'),
  fleetKeyFile: z.string().min(1).describe('file with the keys of the fleet, one per line; this process authenticates with the first and accepts all; reloaded when it changes'),
  seeds: z.array(z.strictObject({ host: name, address: ip, port })).default([]).describe('hosts to contact first'),
  metrics: address.optional().describe('address of the metrics endpoint; must not be reachable for callers'),
  log: z.strictObject({ level: z.enum(logLevels).default('info').describe('lowest level that is logged') }).prefault({}).describe('log, as JSON lines on standard output'),
  recordFile: z.string().optional().describe('file to which the inbox and outbox of each tick are recorded, for replay')
}

/** Settings of an entry host. */
export const entrySettingsSchema = z.strictObject({
  role: z.literal('entry').describe('an entry host: serves look-ups and requests'),
  ...identity,
  site: name.optional().describe('site of this host, to which client blocks are steered; defaults to the availability zone'),
  callers: address.describe('address for look-ups and requests of callers'),
  announcements: address.describe('address for announcements of backend servers'),
  announcementKeyFile: z.string().min(1).describe('file with the tokens that backend servers authenticate with, one per line; reloaded when it changes'),
  ...shared,
  clientBlocksFile: z.string().optional().describe('file with client blocks, one "ADDRESS/PREFIX SITE" per line'),
  limits: z.strictObject({
    bodyBytes: z.number().int().min(1).default(64 * 1024 * 1024).describe('maximum size of a request body, in bytes'),
    bufferedBodyBytes: z.number().int().min(0).default(16 * 1024).describe('request bodies up to this size, in bytes, are buffered so that the request can be retried'),
    headerBytes: z.number().int().min(1024).default(16 * 1024).describe('maximum size of the request headers, in bytes'),
    connections: z.number().int().min(1).default(4096).describe('maximum number of concurrent connections of callers')
  }).prefault({}).describe('limits for callers'),
  policies: z.strictObject({
    allowance: z.enum(['lending', 'frugal-lending', 'fixed-part']).default('lending').describe('how the rate limit of a workspace is shared between hosts as demand moves'),
    choice: z.enum(['two-choices', 'random', 'expected-latency']).default('two-choices').describe('how a backend server is selected'),
    queue: z.enum(['max-min', 'first-come', 'ranked-max-min']).default('max-min').describe('how the queue of a service is shared between workspaces'),
    records: z.enum(['rendezvous', 'none']).default('rendezvous').describe('where a non-idempotent request is recorded before it is sent'),
    suspicion: z.enum(['shared', 'none']).default('shared').describe('how requests that crash backend servers are detected and isolated'),
    shift: z.enum(['capped', 'uncapped']).default('capped').describe('how traffic to other regions is limited'),
    retryBudget: z.strictObject({
      ratio: z.number().nonnegative().describe('retries allowed per first attempt of a service'),
      slack: z.number().nonnegative().describe('additional retries of a service, summed over all entry hosts')
    }).optional().describe('retry budget shared by all entry hosts; if absent, each host keeps its own')
  }).prefault({}).describe('policies; the first value of each is the default, the others are baselines for comparison'),
  tracing: z.strictObject({
    endpoint: z.url().optional().describe('OTLP endpoint over HTTP; tracing is off if absent'),
    sampleRatio: z.number().min(0).max(1).default(1).describe('fraction of new traces that is exported, from 0 to 1')
  }).prefault({}).describe('tracing')
})

/** Settings of a control host. */
export const controlSettingsSchema = z.strictObject({
  role: z.literal('control').describe('a control host: holds the replicated log and serves operators'),
  ...identity,
  operators: address.describe('address for commands of operators'),
  operatorsFile: z.string().min(1).describe('YAML file of operators: name, roles, and SHA-256 digest of the token; reloaded when it changes'),
  dataFolder: z.string().min(1).describe('folder for the replicated log, on a disk that keeps synced files'),
  founders: z.array(z.strictObject({ host: name, address: ip, port })).min(1).describe('control hosts of the initial group, including this one; used only by `found`'),
  ...shared
})

/** Settings of any process. */
export const settingsSchema = z.discriminatedUnion('role', [entrySettingsSchema, controlSettingsSchema])

/** Validated settings of an entry host. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>
/** Validated settings of a control host. */
export type ControlSettings = z.infer<typeof controlSettingsSchema>
/** Validated settings of any process. */
export type Settings = z.infer<typeof settingsSchema>

/** Schemas of the messages between processes, of operator commands and of announcements. Messages that do not match are dropped and counted. */

import { z } from 'zod'
import { MAX_CRASHES } from '../suspicion/types.js'

/** Longest id that hosts accept from each other, in characters. */
export const MAX_ID_LENGTH = 256

const id = z.string().min(1).max(MAX_ID_LENGTH)
const longId = z.string().min(1).max(1024)
/** A non-negative integer; also used for terms, sequence numbers, versions and status codes. */
const index = z.number().int().nonnegative()
const milliseconds = z.number()
const address = z.object({ address: z.string().max(64), port: z.number().int().min(0).max(65535) })

const member = z.object({
  host: id,
  role: z.enum(['entry', 'control']),
  region: id,
  zone: id,
  site: id,
  link: address,
  callers: address.nullable(),
  epoch: z.number(),
  incarnation: index,
  state: z.enum(['alive', 'leaving', 'suspect', 'dead'])
})

/** Schema of an announcement on a link. */
export const announcementSchema = z.object({
  service: id,
  backend: id,
  region: id,
  zone: id,
  target: address,
  slots: z.number().int().min(1).max(4096),
  epoch: z.number(),
  sequence: index,
  state: z.enum(['up', 'draining', 'gone']),
  coldMs: z.number().nonnegative()
})

const terms = z.object({
  shiftCap: z.number().min(0).max(1),
  shiftWindowMs: z.number().positive(),
  allowedRegions: z.array(id),
  drainMs: z.number().nonnegative(),
  whenCutOff: z.enum(['serve', 'refuse']),
  staleAfterMs: z.number().positive()
})

const warmup = z.object({ coldMs: z.number().nonnegative(), ratePerS: z.number().nonnegative() })
/** Schema of a retirement on a link and in the log. */
export const retirementSchema = z.object({ service: id.nullable(), backend: id, epoch: z.number() })
const regions = z.array(id).max(256)
/** Schema of a plan on a link and in the log. */
export const planSchema = z.object({
  version: z.number().int().positive(),
  terms,
  routes: z.array(z.object({
    route: id,
    authority: z.string().max(256),
    prefix: z.string().max(1024),
    repetition: z.enum(['idempotent', 'at-most-once']),
    timeoutMs: z.number(),
    targetMs: z.number(),
    rank: z.number(),
    split: z.array(z.object({ service: id, weight: z.number().nonnegative() })).max(64),
    attempts: z.number().int().positive(),
    isOpen: z.boolean(),
    hasAffinity: z.boolean(),
    allowedRegions: regions
  })),
  services: z.array(z.object({ service: id, healthPath: z.string(), connections: z.number(), warmup })),
  workspaces: z.array(z.object({ workspace: id, keys: z.array(z.string()), rank: z.number(), rate: z.number(), burst: z.number(), allowedRegions: regions })),
  document: z.string().nullable()
})

const entryHost = z.object({ host: id, region: id, zone: id, site: id, parts: z.number().int().min(0) })

/** Schema of a command, as an operator sends it over HTTP. */
export const commandSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('draft-profile'), profile: id, expectedVersion: index, terms }),
  z.strictObject({ kind: z.literal('approve-profile'), profile: id, version: index }),
  z.strictObject({ kind: z.literal('put-service'), service: id, expectedVersion: index, profile: id, profileVersion: index, timeoutMs: z.number().int().min(1).max(600_000), openPaths: z.array(z.string().startsWith('/')) }),
  z.strictObject({ kind: z.literal('put-workspace'), workspace: id, expectedVersion: index, rate: z.number().nonnegative(), burst: z.number().nonnegative(), weight: z.number().positive() }),
  z.strictObject({ kind: z.literal('give-key'), digest: z.string().regex(/^[0-9a-f]{64}$/), workspace: id }),
  z.strictObject({ kind: z.literal('withdraw-key'), digest: z.string().regex(/^[0-9a-f]{64}$/) }),
  z.strictObject({ kind: z.literal('start-drain'), service: id, backend: id }),
  z.strictObject({ kind: z.literal('end-drain'), service: id, backend: id }),
  z.strictObject({ kind: z.literal('register-host'), entryHost }),
  z.strictObject({ kind: z.literal('remove-host'), host: id }),
  z.strictObject({ kind: z.literal('put-plan'), plan: planSchema }),
  z.strictObject({ kind: z.literal('start-evacuation'), zone: id }),
  z.strictObject({ kind: z.literal('end-evacuation'), zone: id }),
  z.strictObject({ kind: z.literal('retire-backend'), retirement: retirementSchema })
])

const envelope = z.object({
  requestId: id,
  operator: id,
  roles: z.array(z.enum(['draft', 'approve', 'assign'])),
  command: commandSchema
})

const change = z.object({ index, envelope: envelope.nullable() })

const vouch = z.object({ index, term: index, sequence: index, ageMs: milliseconds })

const rumor = z.discriminatedUnion('topic', [
  z.object({ topic: z.literal('member'), member }),
  z.object({ topic: z.literal('announcement'), announcement: announcementSchema }),
  z.object({ topic: z.literal('withdrawal'), digest: id }),
  z.object({ topic: z.literal('change'), change }),
  z.object({ topic: z.literal('vouch'), vouch }),
  z.object({ topic: z.literal('suspicion'), suspicion: z.object({ suspect: id, crashes: z.array(z.string()).max(MAX_CRASHES), cleared: z.array(z.string()).max(MAX_CRASHES) }) })
])

const snapshot = z.object({
  index,
  profiles: z.array(z.object({ profile: id, version: index, terms, author: id, approver: id.nullable() })),
  services: z.array(z.object({ service: id, version: index, profile: id, profileVersion: index, timeoutMs: milliseconds, openPaths: z.array(z.string()), warmup: warmup.nullable() })),
  workspaces: z.array(z.object({ workspace: id, version: index, rate: z.number(), burst: z.number(), weight: z.number(), rank: z.number().nullable(), allowedRegions: regions })),
  keys: z.array(z.object({ digest: id, workspace: id, state: z.enum(['given', 'withdrawn']) })),
  entryHosts: z.array(entryHost),
  drains: z.array(z.object({ service: id, backend: id })),
  records: z.array(z.object({ key: id, fingerprint: z.string(), receipt: z.object({ index, version: index }).nullable(), error: z.object({ kind: z.string() }).loose().nullable() })),
  plan: planSchema.nullable(),
  evacuations: z.array(z.object({ zone: id })),
  retirements: z.array(retirementSchema)
})

const replica = z.object({ replica: id, host: id, link: address })
const group = z.object({ voters: z.array(replica), learners: z.array(replica) })
const payload = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('start-of-term') }),
  z.object({ kind: z.literal('command'), envelope }),
  z.object({ kind: z.literal('group'), group })
])
const entry = z.object({ index, term: index, payload })
const logSnapshot = z.object({ index, term: index, group, configuration: snapshot })

const settled = z.array(z.object({ ask: id, unspent: z.number().nonnegative() })).max(64)
const recordedAnswer = z.object({ status: index, headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])), body: z.instanceof(Uint8Array) })
const claimVote = z.discriminatedUnion('kind', [
  z.object({ kind: z.enum(['granted', 'abstained', 'running', 'unknown', 'mismatch']) }),
  z.object({ kind: z.literal('finished'), answer: recordedAnswer.nullable() })
])
const claimEnd = z.discriminatedUnion('kind', [
  z.object({ kind: z.enum(['unknown', 'released']) }),
  z.object({ kind: z.literal('finished'), answer: recordedAnswer.nullable() })
])
const rumors = z.array(rumor).max(256)

/** Schema of every message on a link between two processes. */
export const messageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('probe'), sequence: index, index, rumors }),
  z.object({ kind: z.literal('probe-reply'), sequence: index, index, rumors }),
  z.object({ kind: z.literal('rumors'), rumors }),
  z.object({ kind: z.literal('sync'), reply: z.boolean(), digests: z.array(index).max(256), vouch: vouch.nullable() }),
  z.object({ kind: z.literal('in-force'), index }),
  z.object({ kind: z.literal('fetch'), after: index }),
  z.object({ kind: z.literal('changes'), changes: z.array(change) }),
  z.object({ kind: z.literal('snapshot'), snapshot }),
  z.object({ kind: z.literal('reports'), reports: z.array(z.object({ service: id, backend: id, epoch: z.number(), sequence: index })).max(4096) }),
  z.object({ kind: z.literal('token-request'), workspace: id, amount: z.number().nonnegative(), ask: id, settled }),
  z.object({ kind: z.literal('token-settlement'), workspace: id, settled }),
  z.object({ kind: z.literal('token-grant'), workspace: id, amount: z.number().nonnegative(), left: z.number(), ask: id }),
  z.object({ kind: z.literal('claim'), key: longId, fingerprint: z.string(), claim: id, ownerEpoch: z.number(), ticketAgeMs: milliseconds.nullable() }),
  z.object({ kind: z.literal('claim-vote'), claim: id, vote: claimVote }),
  z.object({ kind: z.literal('claim-end'), key: longId, claim: id, end: claimEnd }),
  z.object({ kind: z.literal('vote-request'), pre: z.boolean(), term: index, replica: id, lastIndex: index, lastTerm: index }),
  z.object({ kind: z.literal('vote-reply'), pre: z.boolean(), term: index, replica: id, granted: z.boolean() }),
  z.object({ kind: z.literal('append'), term: index, replica: id, round: index, previousIndex: index, previousTerm: index, entries: z.array(entry), commit: index }),
  z.object({ kind: z.literal('append-reply'), term: index, replica: id, round: index, success: z.boolean(), match: index }),
  z.object({ kind: z.literal('install'), term: index, replica: id, round: index, snapshot: logSnapshot }),
  z.object({ kind: z.literal('join'), replica })
])

/** Schema of a backend server's announcement, as it is sent over HTTP. */
export const announcementBodySchema = z.strictObject({
  service: id,
  backend: id,
  region: id,
  zone: id,
  port: z.number().int().min(1).max(65535),
  slots: z.number().int().min(1).max(4096),
  epoch: z.number().int().nonnegative(),
  sequence: index,
  state: z.enum(['up', 'draining']),
  coldMs: z.number().nonnegative().default(0)
})

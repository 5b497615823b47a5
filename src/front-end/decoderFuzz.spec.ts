import { readFileSync } from 'node:fs'
import t from 'tap'
import { toId } from '../core/id.js'
import { buildImage, decodeLog, encodeRecord } from '../replicated-log/diskFormat.js'
import { foundingImage } from '../replicated-log/replicaTables.js'
import type { ReplicaId } from '../replicated-log/types.js'
import { parseSettings } from '../settings/loadSettings.js'
import { ConfigurationBuilder, defaultTerms } from '../stand-ins/configurationBuilder.js'
import { checkDecoder } from '../stand-ins/mutatedBytes.js'
import type { FuzzedDecoder } from '../stand-ins/mutatedBytes.js'
import { createLocations } from '../stand-ins/virtualTopology.js'
import { parseJson } from './jsonBody.js'
import { decodeMessage, encodeMessage } from './linkCodec.js'
import type { LinkMessage } from './linkCodec.js'
import { announcementBodySchema, commandSchema } from './messageSchema.js'
import { parsePause } from './serverNotice.js'

const snapshot = new ConfigurationBuilder().profile(defaultTerms).service('s').workspace('w', 10, 10).hosts(createLocations(['n', 'm'], 2, 4)).snapshot()
const announcement = { service: 's', backend: 'b', region: 'n', zone: 'n1', target: { address: '127.0.0.1', port: 80 }, slots: 4, epoch: 1, sequence: 1, state: 'up', coldMs: 0 }
const messages = [
  { kind: 'fetch', after: 3 },
  { kind: 'snapshot', snapshot },
  { kind: 'rumors', rumors: [{ topic: 'announcement', announcement }, { topic: 'vouch', vouch: { index: 1, term: 1, sequence: 1, ageMs: 5 } }] },
  { kind: 'sync', reply: false, digests: [], vouch: { index: 1, term: 1, sequence: 1, ageMs: 5 } }
] as unknown as readonly LinkMessage[]

const replica = toId<ReplicaId>('r')
const member = { replica, host: toId<never>('c'), link: { address: 'c', port: 1 } }
const records = [
  encodeRecord({ kind: 'entries', entries: foundingImage(replica, { voters: [member], learners: [] }).entries }),
  encodeRecord({ kind: 'vote', term: 2, votedFor: replica })
]
const logFile = Buffer.concat(records)

const text = (value: unknown): Buffer => Buffer.from(typeof value === 'string' ? value : JSON.stringify(value))
const settings = ['booking-entry', 'booking-control'].map(name => text(readFileSync(`examples/${name}.yaml`, 'utf8')))
const bodies = [announcement, { kind: 'withdraw-key', digest: 'abc' }, { kind: 'put-workspace', workspace: 'w', expectedVersion: 0, rate: 1, burst: 1, weight: 1 }].map(text)

const decoders: Readonly<Record<string, FuzzedDecoder>> = {
  'messages on links': { samples: messages.map(encodeMessage), decode: decodeMessage },
  'log files': {
    samples: [logFile],
    decode: bytes => {
      const log = decodeLog(bytes)
      return log.tag === 'ok' ? buildImage(replica, log.value.records) : log
    }
  },
  settings: { samples: settings, decode: bytes => parseSettings(bytes.toString()) },
  'bodies of announcements and operators': {
    samples: bodies,
    decode: bytes => {
      const body = parseJson(bytes.toString())
      return [commandSchema.safeParse(body).success, announcementBodySchema.safeParse(body).success]
    }
  },
  'Retry-After': { samples: ['120', '1.5', 'Wed, 21 Oct 2026 07:28:00 GMT'].map(text), decode: bytes => parsePause(bytes.toString()) }
}

for (const [name, decoder] of Object.entries(decoders)) {
  t.test(`no bytes make the decoder of ${name} throw`, async t => { checkDecoder(t, decoder) })
}

t.test('the samples are valid', async t => {
  for (const message of messages) t.equal(decodeMessage(encodeMessage(message)).tag, 'ok', message.kind)
  const log = decodeLog(logFile)
  t.equal(log.tag === 'ok' && log.value.records.length, records.length)
  for (const bytes of settings) t.equal(parseSettings(bytes.toString()).tag, 'ok')
})

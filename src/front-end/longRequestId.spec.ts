import { createHash } from 'node:crypto'
import t from 'tap'
import { toId } from '../core/id.js'
import type { ControlInput, ControlTables } from '../control/types.js'
import { waitUntil } from '../stand-ins/waiting.js'
import { sendRaw, statusLineOf } from '../stand-ins/rawRequest.js'
import { decodeMessage, encodeMessage } from './linkCodec.js'
import type { LinkMessage } from './linkCodec.js'
import { OperatorServer } from './operatorServer.js'

// Guards against a log entry that the other replicas drop, so that nothing behind it is ever committed.

const TOKEN = 'operator-token-of-tests'
const BODY = JSON.stringify({ kind: 'start-evacuation', zone: 'n1' })
const ID_LENGTH = 300

t.test('a command whose request id is too long for the log of the others is refused, not proposed', async t => {
  const pushed: ControlInput[] = []
  const server = new OperatorServer({
    listen: { address: '127.0.0.1', port: 0 },
    operators: () => [{ name: toId('ann'), roles: ['draft', 'approve', 'assign'], tokenDigest: createHash('sha256').update(TOKEN).digest('hex') }],
    tables: {} as unknown as ControlTables,
    faults: { record: () => {} },
    now: () => 0,
    push: row => { pushed.push(row) }
  })
  const port = await server.listen()
  t.teardown(() => { server.close() })
  const answer = sendRaw(port, `POST /v1/commands HTTP/1.1\r\nhost: h\r\nconnection: close\r\nauthorization: Bearer ${TOKEN}\r\nrequest-id: ${'r'.repeat(ID_LENGTH)}\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`)
  await Promise.race([answer, waitUntil('it is proposed', () => pushed.length > 0)])
  for (const row of pushed) {
    if (row.kind !== 'propose') continue
    const entry = { index: 2, term: 1, payload: { kind: 'command' as const, envelope: row.envelope } }
    const message = { kind: 'append', term: 1, replica: toId('c1#0'), round: 1, previousIndex: 1, previousTerm: 0, entries: [entry], commit: 1 } as LinkMessage
    t.match(decodeMessage(encodeMessage(message)), { tag: 'ok' }, 'other replicas accept what is proposed')
  }
  if (pushed.length === 0) t.match(statusLineOf(await answer), / 400 /)
})

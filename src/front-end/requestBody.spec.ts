import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'
import t from 'tap'
import { readBody } from './requestBody.js'
import type { RequestBody } from './requestBody.js'

const BODY = Buffer.from('{"n":1}')
const LIMITS = { bodyBytes: 1_000, bufferedBodyBytes: 100 }

const createRequest = (): IncomingMessage =>
  Object.assign(Readable.from([BODY]), { headers: { 'content-length': String(BODY.length) }, complete: true }) as unknown as IncomingMessage

t.test('a body without room in memory is streamed, or refused if it must be buffered', async t => {
  const buffered = await readBody(createRequest(), LIMITS, { isRequired: false, takeRoom: bytes => bytes === BODY.length }) as RequestBody
  t.match(buffered, { buffered: BODY, replayable: true })
  const streamed = await readBody(createRequest(), LIMITS, { isRequired: false, takeRoom: () => false }) as RequestBody
  t.match(streamed, { buffered: null, length: BODY.length, replayable: false })
  t.same(await readBody(createRequest(), LIMITS, { isRequired: true, takeRoom: () => false }), { kind: 'no-room' })
})

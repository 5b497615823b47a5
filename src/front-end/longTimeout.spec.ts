import t from 'tap'
import { HostileServer } from '../stand-ins/hostileServer.js'
import { AttemptClient } from './attemptClient.js'

// Guards against requests that time out at once because the time that their caller and route give them overflows a timer.

const OVER_TIMER_LIMIT_MS = 2 ** 31

t.test('an attempt with a timeout beyond the limit of timers gets its answer', async t => {
  const server = new HostileServer(() => [{ kind: 'pause', ms: 50 }, { kind: 'write', bytes: 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n' }])
  const port = await server.listen()
  const client = new AttemptClient()
  t.teardown(async () => {
    await client.close()
    server.close()
  })
  const { response } = client.send({ origin: `http://127.0.0.1:${port}`, path: '/', method: 'GET', headers: {}, body: null, isIdempotent: true, mayKeepConnection: false, timeoutMs: OVER_TIMER_LIMIT_MS })
  t.match(await response.catch((error: unknown) => error), { statusCode: 200 })
})

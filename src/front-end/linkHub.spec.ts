import t from 'tap'
import type { Test } from 'tap'
import { connect, createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { WebSocket } from 'ws'
import { toId } from '../core/id.js'
import type { HostId } from '../core/id.js'
import { createLog } from '../observability/log.js'
import { encodeFrame } from './linkCodec.js'
import type { LinkMessage } from './linkCodec.js'
import { LinkHub } from './linkHub.js'

const KEY = Buffer.from('fleet-key-of-tests-01')
const OTHER_KEY = Buffer.from('another-key-of-tests-2')

interface End { readonly hub: LinkHub, readonly port: number, readonly received: Array<{ from: HostId, message: LinkMessage }>, readonly refused: string[] }

const start = async (t: Test, name: string, keys: readonly Buffer[]): Promise<End> => {
  const received: End['received'] = []
  const refused: string[] = []
  const hub = new LinkHub({
    self: toId<HostId>(name),
    listen: { address: '127.0.0.1', port: 0 },
    fleetKeys: () => keys,
    log: createLog(name, 'fatal'),
    events: { onMessage: (from, message) => { received.push({ from, message }) }, onMalformed: reason => { refused.push(reason) }, onTraffic: () => {} }
  })
  const port = await hub.listen()
  t.teardown(() => { hub.close() })
  return { hub, port, received, refused }
}

const until = async (isTrue: () => boolean): Promise<void> => {
  while (!isTrue()) await new Promise(resolve => setTimeout(resolve, 5))
}

const fetch: LinkMessage = { kind: 'fetch', after: 3 }
const at = (end: End): { address: string, port: number } => ({ address: '127.0.0.1', port: end.port })

t.test('hosts that hold the fleet\'s key exchange messages both ways, also while the key is being changed', async t => {
  const a = await start(t, 'a', [KEY])
  const b = await start(t, 'b', [OTHER_KEY, KEY])
  a.hub.send(toId<HostId>('b'), at(b), fetch)
  await until(() => b.received.length === 1)
  b.hub.send(toId<HostId>('a'), { address: '', port: 0 }, { kind: 'fetch', after: 4 })
  await until(() => a.received.length === 1)
  t.matchSnapshot({ a: a.received, b: b.received })
  a.hub.drop(toId<HostId>('b'))
  a.hub.send(toId<HostId>('b'), at(b), fetch)
  await until(() => b.received.length === 2)
  t.pass('a dropped link is dialled anew')
})

t.test('a process without the key, or one that is not who was dialled, is refused', async t => {
  const a = await start(t, 'a', [OTHER_KEY])
  const b = await start(t, 'b', [KEY])
  a.hub.send(toId<HostId>('b'), at(b), fetch)
  await until(() => b.refused.length === 1)
  const c = await start(t, 'c', [KEY])
  c.hub.send(toId<HostId>('somebody-else'), at(b), fetch)
  await until(() => c.refused.length === 1)
  t.matchSnapshot({ b: b.refused, c: c.refused, received: b.received })
})

t.test('malformed frames are refused and counted, and the link stays up for good ones', async t => {
  const b = await start(t, 'b', [KEY])
  const stranger = new WebSocket(`ws://127.0.0.1:${b.port}`)
  stranger.on('error', () => {})
  await new Promise(resolve => stranger.once('message', resolve))
  stranger.send(Buffer.from([0xc1, 0xff, 0x00]))
  await new Promise(resolve => stranger.once('close', resolve))
  t.same(b.refused, ['malformed hello'])

  const a = await start(t, 'a', [KEY])
  const bad = [{ kind: 'fetch', after: -1 }, { kind: 'nothing' }, 'text', { kind: 'probe', sequence: 1, index: 1, rumors: [{ topic: 'member' }] }]
  for (const message of bad) a.hub.send(toId<HostId>('b'), at(b), message as never)
  a.hub.send(toId<HostId>('b'), at(b), fetch)
  await until(() => b.received.length === 1)
  t.equal(b.refused.length, 1 + bad.length)
  t.ok(encodeFrame(fetch).length < 40)
})

t.test('a link that goes silent without closing is replaced by a new one', async t => {
  const a = await start(t, 'a', [KEY])
  const b = await start(t, 'b', [KEY])
  let isSilent = false
  const relay = createServer(near => {
    const far = connect(b.port, '127.0.0.1')
    const silenced = isSilent
    for (const [from, to] of [[near, far], [far, near]] as const) {
      from.on('data', chunk => { if (!isSilent || silenced) to.write(chunk) })
      from.on('error', () => {})
      from.on('close', () => { to.destroy() })
    }
  })
  await new Promise<void>(resolve => { relay.listen(0, '127.0.0.1', resolve) })
  t.teardown(() => { relay.close() })
  const { port } = relay.address() as AddressInfo
  const send = (): void => { a.hub.send(toId<HostId>('b'), { address: '127.0.0.1', port }, fetch) }
  send()
  await until(() => b.received.length === 1)
  isSilent = true
  const timer = setInterval(send, 100)
  await until(() => b.received.length > 1)
  clearInterval(timer)
  t.pass('messages flow again over another connection')
})

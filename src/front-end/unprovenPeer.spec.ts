import t from 'tap'
import { UnprovenPeers } from './unprovenPeer.js'

t.test('the oldest of too many peers without a proof is closed, and none that has proved its identity', async t => {
  const peers = new UnprovenPeers<{ terminate: () => void }>(2)
  const closed: string[] = []
  const connect = (name: string): { terminate: () => void } => {
    const connection = { terminate: () => { closed.push(name) } }
    peers.add(connection)
    return connection
  }
  peers.remove(connect('a'))
  connect('b')
  connect('c')
  t.same(closed, [])
  connect('d')
  connect('e')
  t.same(closed, ['b', 'c'])
})

import t from 'tap'
import { createServer } from 'node:net'
import type { Socket } from 'node:net'
import { listenOn } from '../process/listen.js'
import { BackendConnections } from './backendConnections.js'

t.test('an HTTP client that fails on what a server sends costs that connection only', async t => {
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.write('bytes')
  })
  t.teardown(() => { server.close() })
  const port = await listenOn(server, { address: '127.0.0.1', port: 0 })
  const faults: string[] = []
  const connections = new BackendConnections(error => { faults.push((error as Error).message) })
  for (const event of ['readable', 'close']) {
    const socket = await new Promise<Socket>((resolve, reject) => {
      connections.connect({ hostname: '127.0.0.1', host: `127.0.0.1:${port}`, protocol: 'http:', port: String(port) } as never, (error, opened) => {
        if (opened === null) reject(error)
        else resolve(opened)
      })
    })
    const closed = new Promise<void>(resolve => { socket.once('close', () => { resolve() }) })
    socket.on(event, () => { throw new Error(`fails at ${event}`) })
    if (event === 'close') socket.destroy()
    await closed
  }
  await new Promise(resolve => setImmediate(resolve))
  t.same(faults, ['fails at readable', 'fails at close'])
})

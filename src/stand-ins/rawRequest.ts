/** Bytes sent to a listener over a connection of their own, for tests of what no HTTP client would send. */

import { connect } from 'node:net'

const LOOPBACK = '127.0.0.1'

/** Sends bytes and returns what was received until the connection closed. */
export const sendRaw = async (port: number, bytes: string | Buffer): Promise<string> => await new Promise(resolve => {
  const socket = connect(port, LOOPBACK)
  let received = ''
  socket.on('data', chunk => { received += chunk.toString() })
  socket.on('error', () => {})
  socket.on('close', () => { resolve(received) })
  socket.write(bytes)
})

/** Returns the status line of a response; empty if there is none. */
export const statusLineOf = (response: string): string => response.split('\r\n', 1)[0] ?? ''

/** Sends a GET request for a target, which need not be a valid URL, and returns the status line of the response. */
export const getStatus = async (port: number, target: string): Promise<string> =>
  statusLineOf(await sendRaw(port, `GET ${target} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n`))

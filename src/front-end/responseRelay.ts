/** Relays a backend server's response to the caller: buffered responses in one piece, large ones as a stream. */

import type { ServerResponse } from 'node:http'
import { Readable } from 'node:stream'
import { pipeline } from 'node:stream/promises'
import type { AttemptResult } from '../exchange/types.js'
import { ResponseRecorder } from './responseRecorder.js'
import { mayHaveBody } from './attemptClient.js'
import type { BackendResponse } from './attemptClient.js'

/** Headers of a response to a caller. */
export type ResponseHeaders = Record<string, string | string[]>

// Sends no FIN first, unlike `resetAndDestroy`, which ends the stream and flushes what is written before it resets.
const resetConnection = ({ socket }: ServerResponse): void => {
  if (socket !== null) Object.assign(socket, { resetAndClosing: true }).destroy()
}

const writeBuffered = async (response: ServerResponse, { statusCode, isCloseDelimited }: BackendResponse, headers: ResponseHeaders, body: Buffer): Promise<void> => {
  if (headers['content-length'] === undefined && mayHaveBody(statusCode) && !isCloseDelimited) headers['content-length'] = String(body.length)
  await new Promise<void>((resolve, reject) => {
    response.once('finish', resolve)
    response.once('close', () => { reject(new Error('caller has gone')) })
    response.writeHead(statusCode, headers)
    response.end(body)
  })
}

/**
 * Relays a response until it is complete. The result contains a copy of the response if `shouldRecord` is set and the body is small.
 * A response that is cut off closes the caller's connection, so that the caller does not take it for complete.
 */
export const relayResponse = async (response: ServerResponse, backendResponse: BackendResponse, headers: ResponseHeaders, shouldRecord: boolean): Promise<AttemptResult> => {
  // Adding a content length or chunked framing here would mark a response as complete whose completeness cannot be known.
  if (backendResponse.isCloseDelimited) {
    headers.connection = 'close'
    response.useChunkedEncodingByDefault = false
  }
  const recorder = new ResponseRecorder(shouldRecord)
  try {
    if (backendResponse.body instanceof Readable) {
      // Only a reset shows that a body which ends with its connection is incomplete. It must come before the pipeline closes it.
      if (backendResponse.isCloseDelimited) backendResponse.body.once('error', () => { resetConnection(response) })
      response.writeHead(backendResponse.statusCode, headers)
      await pipeline(backendResponse.body, recorder.tap.bind(recorder), response)
    } else {
      recorder.append(backendResponse.body)
      await writeBuffered(response, backendResponse, headers, backendResponse.body)
    }
    return { kind: 'complete', answer: recorder.finish(backendResponse.statusCode, headers) }
  } catch (error) {
    response.destroy()
    return { kind: 'cut', reason: error instanceof Error ? error.message : 'cut' }
  }
}

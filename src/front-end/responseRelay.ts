/** Hands a backend server's answer to the caller: a small one at once, a long one as it comes. */

import type { ServerResponse } from 'node:http'
import { Readable } from 'node:stream'
import { pipeline } from 'node:stream/promises'
import type { AttemptResult } from '../exchange/types.js'
import { ResponseRecorder } from './responseRecorder.js'
import { mayHaveBody } from './attemptClient.js'
import type { BackendResponse } from './attemptClient.js'

/** Headers of an answer to a caller. */
export type ResponseHeaders = Record<string, string | string[]>

const writeWhole = async (response: ServerResponse, { statusCode, isCloseDelimited: endsWithConnection }: BackendResponse, headers: ResponseHeaders, body: Buffer): Promise<void> => {
  if (headers['content-length'] === undefined && mayHaveBody(statusCode) && !endsWithConnection) headers['content-length'] = String(body.length)
  await new Promise<void>((resolve, reject) => {
    response.once('finish', resolve)
    response.once('close', () => { reject(new Error('caller has gone')) })
    response.writeHead(statusCode, headers)
    response.end(body)
  })
}

/** Relays an answer to its end; the outcome holds the answer where it is to be kept. An answer that breaks off closes the connection. */
export const relayResponse = async (response: ServerResponse, answer: BackendResponse, headers: ResponseHeaders, keepsAnswer: boolean): Promise<AttemptResult> => {
  // A length of our own would vouch for what the server never promised.
  if (answer.isCloseDelimited) {
    headers.connection = 'close'
    response.useChunkedEncodingByDefault = false
  }
  const keeper = new ResponseRecorder(keepsAnswer)
  try {
    if (answer.body instanceof Readable) {
      response.writeHead(answer.statusCode, headers)
      await pipeline(answer.body, keeper.tap.bind(keeper), response)
    } else {
      keeper.append(answer.body)
      await writeWhole(response, answer, headers, answer.body)
    }
    return { kind: 'complete', answer: keeper.finish(answer.statusCode, headers) }
  } catch (error) {
    response.destroy()
    return { kind: 'cut', reason: error instanceof Error ? error.message : 'cut' }
  }
}

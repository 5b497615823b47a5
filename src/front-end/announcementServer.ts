/** HTTP server for announcements of backend servers. They need a token, and the address announced is that of the connection. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { createHash, timingSafeEqual } from 'node:crypto'
import type { Announcement, AnnouncementReceived } from '../announcement/types.js'
import type { Address } from '../core/address.js'
import type { Metrics } from '../observability/metrics.js'
import type { FaultLog } from '../process/containment.js'
import { HttpListener } from '../process/httpListener.js'
import { BodyReader } from './bodyReader.js'
import { parseJson, sendJson } from './jsonBody.js'
import { announcementBodySchema } from './messageSchema.js'

const MAX_BODY_BYTES = 4_096

export interface AnnouncementServerOptions {
  readonly listen: Address
  /** Returns the accepted tokens. */
  readonly tokens: () => readonly string[]
  readonly metrics: Metrics
  readonly faults: FaultLog
  readonly push: (row: AnnouncementReceived) => void
  /** Returns the addresses of the entry hosts in this zone. The response lists them, so that the server can announce itself to each. */
  readonly peers: () => readonly Address[]
}

const sha256 = (text: string): Buffer => createHash('sha256').update(text).digest()

/** Whether a bearer token is accepted. Compares in constant time. */
export const isKnownToken = (header: string | undefined, tokens: readonly string[]): boolean => {
  const given = sha256((header ?? '').replace(/^Bearer /i, ''))
  let isKnown = false
  for (const token of tokens) isKnown = timingSafeEqual(given, sha256(token)) || isKnown
  return isKnown
}

/** Serves `POST /v1/announcements`. */
export class AnnouncementServer {
  readonly #listener: HttpListener
  readonly #bodies = new BodyReader()

  constructor (readonly options: AnnouncementServerOptions) {
    this.#listener = new HttpListener({ name: 'announcements', faults: options.faults, handle: async (request, response) => { await this.#handle(request, response) } })
  }

  /** Listens and returns the port; rejects when the address cannot be used. */
  async listen (): Promise<number> { return await this.#listener.listen(this.options.listen) }

  close (): void { this.#listener.close() }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.method !== 'POST' || request.url !== '/v1/announcements') {
      sendJson(response, 404, { error: { reason: 'path-unknown' } })
      return
    }
    if (!isKnownToken(request.headers.authorization, this.options.tokens())) {
      sendJson(response, 401, { error: { reason: 'token-unknown' } }, true)
      return
    }
    const body = await this.#bodies.readText(request, response, MAX_BODY_BYTES)
    if (body === null) return
    const parsed = announcementBodySchema.safeParse(parseJson(body))
    const address = request.socket.remoteAddress?.replace(/^::ffff:/, '')
    if (!parsed.success || address === undefined) {
      this.options.metrics.malformed.inc({ where: 'announcement' })
      sendJson(response, 400, { error: { reason: 'announcement-malformed', detail: parsed.error?.issues[0]?.message } })
      return
    }
    const { port, ...rest } = parsed.data
    this.options.push({ kind: 'announcement', announcement: { ...rest, target: { address, port } } as Announcement })
    sendJson(response, 200, { entryHosts: this.options.peers() })
  }
}

/** The HTTP front end towards backend servers: authenticated announcements, tied to the connection's own address. */

import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createHash, timingSafeEqual } from 'node:crypto'
import type { Announcement, AnnouncementReceived } from '../announcement/types.js'
import type { Address } from '../core/address.js'
import type { Metrics } from '../observability/metrics.js'
import { listenOn } from '../process/listen.js'
import { readJson, sendJson } from './jsonBody.js'
import { announcementBodySchema } from './messageSchema.js'

const MAX_BODY_BYTES = 4_096

/** What the announcement server is made from. */
export interface AnnouncementServerOptions {
  readonly listen: Address
  readonly tokens: () => readonly string[]
  readonly metrics: Metrics
  readonly push: (row: AnnouncementReceived) => void
  /** Entry hosts of this zone, so that a server learns whom else to tell. */
  readonly peers: () => readonly Address[]
}

const sha256 = (text: string): Buffer => createHash('sha256').update(text).digest()

/** Whether a bearer token is one of those allowed, compared without timing leaks. */
export const isKnownToken = (header: string | undefined, tokens: readonly string[]): boolean => {
  const given = sha256((header ?? '').replace(/^Bearer /i, ''))
  let isKnown = false
  for (const token of tokens) isKnown = timingSafeEqual(given, sha256(token)) || isKnown
  return isKnown
}

/** Takes announcements at `POST /v1/announcements`. */
export class AnnouncementServer {
  readonly #server: Server

  constructor (readonly options: AnnouncementServerOptions) {
    this.#server = createServer((request, response) => { void this.#take(request, response) })
  }

  /** Listens; rejects when the address cannot be had. */
  async listen (): Promise<number> { return await listenOn(this.#server, this.options.listen) }

  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #take (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.method !== 'POST' || request.url !== '/v1/announcements') {
      sendJson(response, 404, { error: { reason: 'path-unknown' } })
      return
    }
    if (!isKnownToken(request.headers.authorization, this.options.tokens())) {
      sendJson(response, 401, { error: { reason: 'token-unknown' } }, true)
      return
    }
    const body = await readJson(request, MAX_BODY_BYTES)
    const parsed = announcementBodySchema.safeParse(body)
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

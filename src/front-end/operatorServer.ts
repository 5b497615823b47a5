/** HTTP server for operators: accepts commands and returns their outcomes, the status of the fleet and the configuration. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { createHash, randomUUID } from 'node:crypto'
import { z } from 'zod'
import { toId } from '../core/id.js'
import type { HostId, OperatorId, RequestId } from '../core/id.js'
import type { Command, Role } from '../configuration/types.js'
import type { ControlInput, ControlTables } from '../control/types.js'
import type { Address } from '../core/address.js'
import type { ProposalAnswered, ProposalError } from '../replicated-log/types.js'
import type { FaultLog } from '../process/containment.js'
import { HttpListener } from '../process/httpListener.js'
import { describeConfiguration, describeStatus } from './operatorViews.js'
import { PendingCalls } from './pendingCalls.js'
import { BodyReader } from './bodyReader.js'
import { parseJson, sendJson } from './jsonBody.js'
import { MAX_ID_LENGTH, commandSchema } from './messageSchema.js'

const MAX_BODY_BYTES = 1024 * 1024
/** Longest wait for the quorum. The outcome is unknown after that; a resend with the same request id returns it. */
const OUTCOME_TIMEOUT_MS = 8_000

/** A user of the operator API. */
export interface Operator {
  readonly name: OperatorId
  readonly roles: readonly Role[]
  /** SHA-256 of the token, in hex. */
  readonly tokenDigest: string
}

export interface OperatorServerOptions {
  readonly listen: Address
  /** Returns the users that are allowed at present. */
  readonly operators: () => readonly Operator[]
  readonly tables: ControlTables
  readonly faults: FaultLog
  readonly now: () => number
  readonly push: (row: ControlInput) => void
}

const httpStatusOf = (error: ProposalError): number => {
  switch (error.kind) {
    case 'role-missing':
    case 'own-draft': return 403
    case 'not-found':
    case 'no-join-request': return 404
    case 'not-leader': return 421
    case 'log-full': return 503
    case 'outcome-unknown': return 504
    default: return 409
  }
}

const admissionSchema = z.strictObject({ host: z.string().min(1).max(128) })

/** Serves operators over HTTP. */
export class OperatorServer {
  readonly #listener: HttpListener
  readonly #bodies = new BodyReader()
  readonly #pendingCalls = new PendingCalls(OUTCOME_TIMEOUT_MS, call => { this.deliver({ kind: 'proposal-answer', call, receipt: null, error: { kind: 'outcome-unknown' } }) })

  constructor (readonly options: OperatorServerOptions) {
    this.#listener = new HttpListener({ name: 'operators', faults: options.faults, handle: async (request, response) => { await this.#route(request, response) } })
  }

  /** Listens and returns the port; rejects when the address cannot be used. */
  async listen (): Promise<number> { return await this.#listener.listen(this.options.listen) }

  /** Sends the outcome of a proposal to the operator; ignored when the call has been answered. */
  deliver (row: ProposalAnswered): void {
    const call = this.#pendingCalls.take(row.call)
    if (call === undefined) return
    this.#listener.guard(call.response, () => {
      if (row.error === null) sendJson(call.response, 200, { receipt: row.receipt })
      else sendJson(call.response, httpStatusOf(row.error), { error: row.error })
    })
  }

  close (): void { this.#listener.close() }

  #findOperator (request: IncomingMessage): Operator | undefined {
    const token = (request.headers.authorization ?? '').replace(/^Bearer /i, '')
    const digest = createHash('sha256').update(token).digest('hex')
    return this.options.operators().find(operator => operator.tokenDigest === digest)
  }

  async #route (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const operator = this.#findOperator(request)
    if (operator === undefined) {
      sendJson(response, 401, { error: { kind: 'operator-unknown' } }, true)
      return
    }
    const { tables, now } = this.options
    const route = `${request.method ?? ''} ${request.url ?? ''}`
    if (route === 'GET /v1/status') sendJson(response, 200, describeStatus(tables, now()))
    else if (route === 'GET /v1/configuration') sendJson(response, 200, describeConfiguration(tables, now()))
    else if (route === 'POST /v1/commands') await this.#handleCommand(request, response, operator)
    else if (route === 'POST /v1/replicas') await this.#handleAdmission(request, response, operator)
    else sendJson(response, 404, { error: { kind: 'path-unknown' } })
  }

  async #handleCommand (request: IncomingMessage, response: ServerResponse, operator: Operator): Promise<void> {
    const body = await this.#bodies.readText(request, response, MAX_BODY_BYTES)
    if (body === null) return
    const parsed = commandSchema.safeParse(parseJson(body))
    if (!parsed.success) {
      const issue = parsed.error.issues[0]
      sendJson(response, 400, { error: { kind: 'command-malformed', path: issue?.path.join('.'), detail: issue?.message } })
      return
    }
    const requestId = request.headers['request-id']
    if (requestId !== undefined && requestId.length > MAX_ID_LENGTH) {
      sendJson(response, 400, { error: { kind: 'request-id-too-long', maxLength: MAX_ID_LENGTH } })
      return
    }
    const call = this.#pendingCalls.add(response, '')
    this.options.push({
      kind: 'propose',
      call,
      envelope: {
        requestId: toId<RequestId>(typeof requestId === 'string' && requestId !== '' ? requestId : randomUUID()),
        operator: operator.name,
        roles: operator.roles,
        // The schema has plain strings where the types have branded ids; the shapes are otherwise equal.
        command: parsed.data as unknown as Command
      }
    })
  }

  async #handleAdmission (request: IncomingMessage, response: ServerResponse, operator: Operator): Promise<void> {
    const body = await this.#bodies.readText(request, response, MAX_BODY_BYTES)
    if (body === null) return
    const parsed = admissionSchema.safeParse(parseJson(body))
    if (!parsed.success) sendJson(response, 400, { error: { kind: 'command-malformed' } })
    else if (!operator.roles.includes('assign')) sendJson(response, 403, { error: { kind: 'role-missing', role: 'assign' } })
    else this.options.push({ kind: 'admit', call: this.#pendingCalls.add(response, ''), host: toId<HostId>(parsed.data.host) })
  }
}
